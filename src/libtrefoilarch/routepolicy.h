#pragma once

#include "millis.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** When a request may be retried at another upstream. */
enum class RetryMode : uint8_t
{
  AtMostOnce, /**< only if it has certainly not run */
  Idempotent, /**< always, from its beginning */
  Resumable,  /**< an event stream that continues after the last event */
};

/** A service and its weight among a route's targets. */
struct WeightedTarget
{
  std::string mService;
  uint32_t mWeight = 1;

  bool operator==(const WeightedTarget&) const = default;
};

/** The requests for one host and path prefix, and how they are served. */
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; /**< begins and ends with a slash */
  RetryMode mRetryMode = RetryMode::AtMostOnce;
  bool mStream = false;
  /** Maximum time that a caller waits. */
  Millis mTimeout{ 60000 };
  Millis mFirstTokenTarget{ 1000 };
  /** Maximum gap between the events of a stream that is on time. */
  Millis mGapTarget{ 1000 };
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  std::vector<WeightedTarget> mTargets;
  /** Maximum attempts per request, including the first. */
  uint32_t mMaxAttempts = 1;
  /** Requests need no key. */
  bool mPublic = false;

  /** Whether requests may be sent to the service. */
  bool LeadsTo(const std::string& aService) const
  {
    return std::any_of(
      mTargets.begin(), mTargets.end(), [&](const WeightedTarget& aTarget) {
        return aTarget.mService == aService &&
               (aTarget.mWeight > 0 || mTargets.size() == 1);
      });
  }

  bool operator==(const Route&) const = default;
};

/** Properties of a service's model engines, set by operators. */
struct EngineTraits
{
  uint32_t mSlots = 1;
  uint64_t mMemoryTokens = 0;
  uint32_t mBytesPerToken = 0;
  /** Tokens that an event of a stream holds. */
  uint32_t mTokensPerEvent = 1;
  /** Engines keep copies of running requests on other engines. */
  bool mBackups = false;
  /** Running requests can migrate between engines. */
  bool mMoves = false;
  Millis mCopyRetention{ 0 };

  bool operator==(const EngineTraits&) const = default;
};

/** A group of interchangeable upstreams. */
struct RoutedService
{
  std::string mName;
  /** Connections that an upstream accepts from all entries together. */
  uint32_t mMaxConnections = 100;
  std::optional<EngineTraits> mEngine;

  bool operator==(const RoutedService&) const = default;
};

/** Limits on a caller's requests. */
struct CallerLimits
{
  uint32_t mMaxHeaderBytes = 16384;
  uint64_t mMaxBodyBytes = 4194304;
  Millis mHeaderTimeout{ 3000 };
  Millis mIdleTimeout{ 15000 };

  bool operator==(const CallerLimits&) const = default;
};

/** A workspace that is identified by its keys. */
struct KeyedWorkspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  /** Overrides the route's priority. */
  std::optional<uint8_t> mPriority;
  /** Its share of a contended service relative to other workspaces. */
  double mWeight = 1;

  bool operator==(const KeyedWorkspace&) const = default;
};

/**
 * A policy that routes requests by host and path. Each update is a complete
 * policy with a higher version. Immutable once published.
 */
struct RoutePolicy
{
  uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, RoutedService> mServices;
  CallerLimits mLimits;
  /** If empty, no request needs a key. */
  std::vector<KeyedWorkspace> mWorkspaces;

  bool operator==(const RoutePolicy&) const = default;
};

} // namespace trefoilarch
