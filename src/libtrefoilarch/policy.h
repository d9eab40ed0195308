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

/** Key-value pairs that describe traffic or an upstream. */
using Labels = std::map<std::string, std::string>;

/** How a Requirement tests a label. */
enum class RequirementOperator : uint8_t
{
  Equals,
  NotEquals,
  In,
  NotIn,
  Exists,
  NotExists,
};

/** A condition on one label. All requirements of a list must be met. */
struct Requirement
{
  std::string mKey;
  RequirementOperator mOperator = RequirementOperator::Equals;
  std::vector<std::string> mValues;

  bool operator==(const Requirement&) const = default;
};

/** A class of requests with its priority and its targets. */
struct RequestClass
{
  std::string mName;
  Tier mTier = kTierCount - 1;
  double mFloor = 0; /**< guaranteed share of starts while requests wait */
  Millis mFirstTokenTarget{ 1000 };
  Millis mBetweenTokenTarget{ 100 };
  Millis mDeadline{ 60000 };
  bool mIdempotent = true; /**< default for callers that do not specify it */
  /** Who may use the class; empty admits every known workspace. */
  std::vector<Requirement> mCallers;

  bool operator==(const RequestClass&) const = default;
};

/** A customer of the system. */
struct Workspace
{
  std::string mName;
  /** SHA-256 of its bearer token in hexadecimal; empty: none required. */
  std::string mTokenHash;
  double mWeight = 1;
  std::string mDefaultClass;
  Labels mLabels;

  bool operator==(const Workspace&) const = default;
};

/**
 * Allows requests that meet all of mTraffic on the upstreams that meet all of
 * mUpstreams. A request that no selector matches is not sent anywhere.
 * Requirements on traffic can test the caller's and the workspace's labels and
 * `workspace`, `class`, `model`, `service` and `data_centre`; requirements on
 * upstreams can test the upstream's labels, `upstream` and `data_centre`.
 */
struct Selector
{
  std::string mName;
  std::vector<Requirement> mTraffic;
  std::vector<Requirement> mUpstreams;

  bool operator==(const Selector&) const = default;
};

/** An upstream's settings made by operators. */
struct UpstreamSettings
{
  std::string mName;
  Labels mLabels; /**< override the upstream's own labels */
  bool mDrained = false;

  bool operator==(const UpstreamSettings&) const = default;
};

/** The complete policy at one version. Immutable once published. */
struct Policy
{
  uint64_t mVersion = 0; /**< 0: no policy has been set */
  std::map<std::string, RequestClass> mClasses;
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, Selector> mSelectors;
  std::map<std::string, UpstreamSettings> mUpstreams;

  bool operator==(const Policy&) const = default;
};

} // namespace trefoilarch
