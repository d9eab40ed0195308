#pragma once

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/policyoperation.h"

#include <random>
#include <string>
#include <vector>

namespace policygen {

/** Generates small policies and traffic whose names often match. */
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

  trefoilarch::Labels RandomLabels(const std::vector<std::string>& aKeys)
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
    trefoilarch::Requirement requirement;
    requirement.mKey = Pick(aKeys);
    requirement.mOperator =
      static_cast<trefoilarch::RequirementOperator>(Draw(6));
    const bool takesList =
      requirement.mOperator == trefoilarch::RequirementOperator::In ||
      requirement.mOperator == trefoilarch::RequirementOperator::NotIn;
    const bool takesNone =
      requirement.mOperator == trefoilarch::RequirementOperator::Exists ||
      requirement.mOperator == trefoilarch::RequirementOperator::NotExists;
    const size_t count = takesNone ? 0 : takesList ? 1 + Draw(2) : 1;
    while (requirement.mValues.size() < count) {
      requirement.mValues.push_back(requirement.mKey == "workspace"
                                      ? WorkspaceName()
                                    : requirement.mKey == "class" ? ClassName()
                                                                  : Value());
    }
    return requirement;
  }

  std::vector<trefoilarch::Requirement> Requirements(
    const std::vector<std::string>& aKeys)
  {
    std::vector<trefoilarch::Requirement> requirements;
    while (Chance(45)) {
      requirements.push_back(Requirement(aKeys));
    }
    return requirements;
  }

  trefoilarch::RequestClass Class(const std::string& aName)
  {
    trefoilarch::RequestClass requestClass;
    requestClass.mName = aName;
    requestClass.mTier = static_cast<trefoilarch::Tier>(Draw(4));
    requestClass.mFloor = Draw(30) / 100.0;
    requestClass.mDeadline = trefoilarch::Millis(1 + Draw(60000));
    requestClass.mIdempotent = Chance(50);
    requestClass.mCallers = Requirements({ "role", "workspace", "site" });
    return requestClass;
  }

  trefoilarch::Policy Policy()
  {
    trefoilarch::Policy policy;
    policy.mVersion = 1 + Draw(1000);
    for (const char* name : { "call", "draft", "page" }) {
      policy.mClasses[name] = Class(name);
    }
    for (const char* name : { "north", "south" }) {
      trefoilarch::Workspace& workspace = policy.mWorkspaces[name];
      workspace.mName = name;
      workspace.mWeight = 1 + Draw(5);
      workspace.mDefaultClass = Chance(80) ? ClassName() : "";
      workspace.mLabels = RandomLabels({ "role", "site" });
    }
    for (const char* name : { "s1", "s2", "s3" }) {
      trefoilarch::Selector& selector = policy.mSelectors[name];
      selector.mName = name;
      selector.mTraffic = Requirements(
        { "role", "site", "workspace", "class", "model", "data_centre" });
      selector.mUpstreams =
        Requirements({ "pool", "site", "model", "data_centre", "upstream" });
    }
    for (const char* name : { "a", "b" }) {
      if (Chance(50)) {
        trefoilarch::UpstreamSettings& settings = policy.mUpstreams[name];
        settings.mName = name;
        settings.mLabels = RandomLabels({ "pool", "site" });
        settings.mDrained = Chance(30);
      }
    }
    return policy;
  }

  std::vector<trefoilarch::UpstreamView> Upstreams()
  {
    std::vector<trefoilarch::UpstreamView> upstreams;
    for (const char* name : { "a", "b", "c", "d" }) {
      upstreams.push_back(
        { name, Value(), RandomLabels({ "pool", "site", "model" }) });
    }
    return upstreams;
  }

  trefoilarch::CallerAttributes Claims()
  {
    trefoilarch::CallerAttributes claims;
    claims.mWorkspace = WorkspaceName();
    claims.mRequestedClass = Chance(70) ? ClassName() : "";
    claims.mLabels = RandomLabels({ "role", "site", "workspace", "class" });
    claims.mModel = Chance(60) ? Value() : "";
    claims.mDataCentre = Value();
    return claims;
  }

private:
  std::mt19937 mRandom;
};

} // namespace policygen
