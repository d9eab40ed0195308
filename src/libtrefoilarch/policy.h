#pragma once

#include "errors.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace trefoilarch {

/** Key-value pairs that describe a caller or an upstream. */
using Labels = std::map<std::string, std::string>;

/** How a Requirement looks at a label. */
enum class RequirementOperator : uint8_t
{
  Equals,
  NotEquals,
  In,
  NotIn,
  Exists,
  NotExists,
};

/** One condition on one label; several are joined by "and". */
struct Requirement
{
  std::string mKey;
  RequirementOperator mOperator = RequirementOperator::Equals;
  std::vector<std::string> mValues;

  bool operator==(const Requirement&) const = default;
};

/** A request class and what its requests are owed. */
struct RequestClass
{
  std::string mName;
  Tier mTier = kTierCount - 1;
  double mFloor = 0; /**< share of starts it is sure of while it waits */
  Millis mFirstTokenTarget{ 1000 };
  Millis mBetweenTokenTarget{ 100 };
  Millis mDeadline{ 60000 };
  bool mIdempotent = true; /**< unless the caller says otherwise */
  /** Who may ask for the class; empty admits every known workspace. */
  std::vector<Requirement> mCallers;

  bool operator==(const RequestClass&) const = default;
};

/** A customer of the system. */
struct Workspace
{
  std::string mName;
  /** SHA-256 of its bearer token in hexadecimal; empty: no token needed. */
  std::string mTokenHash;
  double mWeight = 1;
  std::string mDefaultClass;
  Labels mLabels;

  bool operator==(const Workspace&) const = default;
};

/**
 * Says where traffic may go: a request that meets all of mTraffic may go to
 * each upstream that meets all of mUpstreams. Traffic that no selector
 * matches may go nowhere. Besides the caller's and the workspace's labels,
 * `workspace`, `class`, `model`, `service` and `data_centre` can be asked of
 * traffic; besides the upstream's own labels, `upstream` and `data_centre`.
 */
struct Selector
{
  std::string mName;
  std::vector<Requirement> mTraffic;
  std::vector<Requirement> mUpstreams;

  bool operator==(const Selector&) const = default;
};

/** What operators have set for one upstream. */
struct UpstreamSettings
{
  std::string mName;
  Labels mLabels; /**< go over the upstream's own labels */
  bool mDrained = false;

  bool operator==(const UpstreamSettings&) const = default;
};

/** All that operators have set, at one version. Never changed in place. */
struct Policy
{
  uint64_t mVersion = 0; /**< 0: no policy yet */
  std::map<std::string, RequestClass> mClasses;
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, Selector> mSelectors;
  std::map<std::string, UpstreamSettings> mUpstreams;

  bool operator==(const Policy&) const = default;
};

} // namespace trefoilarch
