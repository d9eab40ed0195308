#pragma once

#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** What of a route's requests may be sent to a second upstream. */
enum class RetryMode : uint8_t
{
  AtMostOnce, /**< only what surely has not run */
  Idempotent, /**< as a whole, at any time */
  Resumable,  /**< an event stream that goes on after the last event */
};

/** A service and its share of a route's requests. */
struct WeightedTarget
{
  std::string mService;
  uint32_t mWeight = 1;

  bool operator==(const WeightedTarget&) const = default;
};

/** Requests of one host below one path, and what they are owed. */
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; /**< begins and ends with a slash */
  RetryMode mRetryMode = RetryMode::AtMostOnce;
  bool mStream = false;
  /** The longest that a caller is kept waiting. */
  Millis mTimeout{ 60000 };
  Millis mFirstTokenTarget{ 1000 };
  /** The longest pause between events of a stream that is on time. */
  Millis mGapTarget{ 1000 };
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  std::vector<WeightedTarget> mTargets;
  /** Upstreams that one request may be sent to, the first one included. */
  uint32_t mMaxAttempts = 1;
  /** Needs no key. */
  bool mPublic = false;

  bool operator==(const Route&) const = default;
};

/** What the operators say of a service's model engines. */
struct EngineTraits
{
  uint32_t mSlots = 1;
  uint64_t mMemoryTokens = 0;
  uint32_t mBytesPerToken = 0;
  /** The engines keep copies of running requests on each other. */
  bool mBackups = false;
  /** Running requests can be moved between the engines. */
  bool mMoves = false;
  /** How long a copy is kept. */
  Millis mCopyRetention{ 0 };

  bool operator==(const EngineTraits&) const = default;
};

/** Upstreams that are interchangeable. */
struct RoutedService
{
  std::string mName;
  /** Connections that one upstream takes from all entries together. */
  uint32_t mMaxConnections = 100;
  std::optional<EngineTraits> mEngine;

  bool operator==(const RoutedService&) const = default;
};

/** Bounds on what a caller may send. */
struct CallerLimits
{
  uint32_t mMaxHeaderBytes = 16384;
  uint64_t mMaxBodyBytes = 4194304;
  Millis mHeaderTimeout{ 3000 };
  Millis mIdleTimeout{ 15000 };

  bool operator==(const CallerLimits&) const = default;
};

/** A workspace that shows itself by a key. */
struct KeyedWorkspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  /** Goes before the route's. */
  std::optional<uint8_t> mPriority;

  bool operator==(const KeyedWorkspace&) const = default;
};

/**
 * A policy that says by host and path where requests go. It is replaced as a
 * whole; versions rise. Never changed in place.
 */
struct RoutePolicy
{
  uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, RoutedService> mServices;
  CallerLimits mLimits;
  /** Empty: no request needs a key. */
  std::vector<KeyedWorkspace> mWorkspaces;

  bool operator==(const RoutePolicy&) const = default;
};

} // namespace trefoilarch
