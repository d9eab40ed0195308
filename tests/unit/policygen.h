#pragma once

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/policyoperation.h"

#include <random>
#include <string>
#include <vector>

namespace policygen {

/** Draws small policies and traffic whose names and labels often meet. */
class Generator
{
public:
  explicit Generator(uint32_t aSeed)
    : mRandom(aSeed)
  {
  }

  uint32_t Draw(uint32_t aBelow) { return mRandom() % aBelow; }
  bool Chance(uint32_t aPercent) { return Draw(100) < aPercent; }

  std::string Pick(const std::vector<std::string>& aFrom)
  {
    return aFrom[Draw(static_cast<uint32_t>(aFrom.size()))];
  }
  std::string Value() { return Pick({ "a", "b", "c" }); }
  std::string ClassName() { return Pick({ "call", "draft", "page" }); }
  std::string WorkspaceName() { return Pick({ "north", "south" }); }

  trefoilarch::Labels Some(const std::vector<std::string>& aKeys)
  {
    trefoilarch::Labels labels;
    for (const std::string& key : aKeys) {
      if (Chance(50)) {
        labels[key] = Value();
      }
    }
    return labels;
  }

  trefoilarch::Requirement Requirement(const std::vector<std::string>& aKeys)
  {
    trefoilarch::Requirement one;
    one.mKey = Pick(aKeys);
    one.mOperator = static_cast<trefoilarch::RequirementOperator>(Draw(6));
    const bool many = one.mOperator == trefoilarch::RequirementOperator::In ||
                      one.mOperator == trefoilarch::RequirementOperator::NotIn;
    const bool none =
      one.mOperator == trefoilarch::RequirementOperator::Exists ||
      one.mOperator == trefoilarch::RequirementOperator::NotExists;
    const size_t count = none ? 0 : many ? 1 + Draw(2) : 1;
    while (one.mValues.size() < count) {
      one.mValues.push_back(one.mKey == "workspace" ? WorkspaceName()
                            : one.mKey == "class"   ? ClassName()
                                                    : Value());
    }
    return one;
  }

  std::vector<trefoilarch::Requirement> Requirements(
    const std::vector<std::string>& aKeys)
  {
    std::vector<trefoilarch::Requirement> all;
    while (Chance(45)) {
      all.push_back(Requirement(aKeys));
    }
    return all;
  }

  trefoilarch::RequestClass Class(const std::string& aName)
  {
    trefoilarch::RequestClass one;
    one.mName = aName;
    one.mTier = static_cast<trefoilarch::Tier>(Draw(4));
    one.mFloor = Draw(30) / 100.0;
    one.mDeadline = trefoilarch::Millis(1 + Draw(60000));
    one.mIdempotent = Chance(50);
    one.mCallers = Requirements({ "role", "workspace", "site" });
    return one;
  }

  trefoilarch::Policy Policy()
  {
    trefoilarch::Policy policy;
    policy.mVersion = 1 + Draw(1000);
    for (const char* name : { "call", "draft", "page" }) {
      policy.mClasses[name] = Class(name);
    }
    for (const char* name : { "north", "south" }) {
      trefoilarch::Workspace& one = policy.mWorkspaces[name];
      one.mName = name;
      one.mWeight = 1 + Draw(5);
      one.mDefaultClass = Chance(80) ? ClassName() : "";
      one.mLabels = Some({ "role", "site" });
    }
    for (const char* name : { "s1", "s2", "s3" }) {
      trefoilarch::Selector& one = policy.mSelectors[name];
      one.mName = name;
      one.mTraffic = Requirements(
        { "role", "site", "workspace", "class", "model", "data_centre" });
      one.mUpstreams =
        Requirements({ "pool", "site", "model", "data_centre", "upstream" });
    }
    for (const char* name : { "a", "b" }) {
      if (Chance(50)) {
        trefoilarch::UpstreamSettings& one = policy.mUpstreams[name];
        one.mName = name;
        one.mLabels = Some({ "pool", "site" });
        one.mDrained = Chance(30);
      }
    }
    return policy;
  }

  std::vector<trefoilarch::UpstreamView> Upstreams()
  {
    std::vector<trefoilarch::UpstreamView> all;
    for (const char* name : { "a", "b", "c", "d" }) {
      all.push_back({ name, Value(), Some({ "pool", "site", "model" }) });
    }
    return all;
  }

  trefoilarch::CallerClaims Claims()
  {
    trefoilarch::CallerClaims claims;
    claims.mWorkspace = WorkspaceName();
    claims.mWantedClass = Chance(70) ? ClassName() : "";
    claims.mLabels = Some({ "role", "site", "workspace", "class" });
    claims.mModel = Chance(60) ? Value() : "";
    claims.mDataCentre = Value();
    return claims;
  }

private:
  std::mt19937 mRandom;
};

} // namespace policygen
