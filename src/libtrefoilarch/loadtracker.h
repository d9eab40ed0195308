#pragma once

#include "loadupdate.h"
#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace trefoilarch {

/** When a part of the load tracker takes effect. */
enum class PartMode : uint8_t
{
  Auto, /**< for services whose upstreams state their contention */
  On,   /**< for all services */
  Off,
};

/** A workspace at one service and tier, for the metrics. */
struct WorkspaceLoad
{
  std::string mWorkspace;
  /** In milliseconds of engine time per second. */
  double mDemand = 0;
  double mShare = 0;
  /** Requests that this entry has refused for the share. */
  uint64_t mShed = 0;
};

struct LoadTrackerOptions
{
  /** This entry's name in updates. */
  std::string mName;
  /** Distinguishes this process from its successors of the same name. */
  uint64_t mProcess = 0;
  PartMode mUpstreamPerformance = PartMode::Auto;
  PartMode mEngineMemory = PartMode::Auto;
  PartMode mFairShares = PartMode::Auto;
};

/**
 * What an entry knows of load that upstreams don't report as requests: how fast
 * they are, the engine memory in use, and the demand of workspaces. Combines
 * this entry's own observations with the updates of others.
 */
class LoadTracker
{
public:
  explicit LoadTracker(LoadTrackerOptions aOptions);

  /** Whether there is anything that others haven't received yet. */
  bool HasUpdate(Millis aNow) const;
  LoadUpdate TakeUpdate(Millis aNow);
  /** Ignores an update that is older than the last one of its sender. */
  void OnUpdate(const LoadUpdate& aUpdate, Millis aNow);

  /** {"slow": [{"upstream", "service", "factor", "since_ms", "source"}]}, where
   * the source is "own" or "peers". */
  nlohmann::json SlowUpstreams(Millis aNow) const;
  /** {"workspaces": [{"service", "workspace", "tier", "share", "demand",
   * "borrowed", "shed"}]}, largest demand first; shares and demands are in
   * milliseconds of engine time per second. */
  nlohmann::json Workspaces(Millis aNow) const;

  /** The number of slow upstreams by service. */
  std::map<std::string, size_t> SlowUpstreamCounts(Millis aNow) const;
  /** What Workspaces() reports, without JSON: metrics are read often, and
   * there may be thousands of workspaces. */
  std::vector<WorkspaceLoad> WorkspaceLoads(Millis aNow) const;

private:
  LoadTrackerOptions mOptions;
};

} // namespace trefoilarch
