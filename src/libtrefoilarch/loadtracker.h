#pragma once

#include "boundrequest.h"
#include "enginememory/enginememory.h"
#include "fairshare/fairshare.h"
#include "loadupdate.h"
#include "millis.h"
#include "performance/enginepace.h"
#include "performance/upstreamperformance.h"
#include "placedattempt.h"
#include "placementcandidate.h"
#include "runningmean.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

struct EngineInfo;

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
  /** Off by default: the margin for what other entries send delays long prompts
   * even where preemptions are rare. */
  PartMode mEngineMemory = PartMode::Off;
  PartMode mFairShares = PartMode::Auto;
  PaceCostOptions mPaceCost;
  /** Weight of mPaceCost by tier, the most urgent first. Less urgent streams
   * leave the engines that keep every bound to those that need them. */
  std::array<double, 2> mPaceWeights{ 2, 0 };
  FairShareOptions mShares;
};

/** The engine of a request, as far as its load matters to the request. */
struct EngineView
{
  const UpstreamId& mUpstream;
  const UpstreamWork& mWork;
  PendingPrefill mPeerPending;
};

/**
 * What an entry knows of load that upstreams don't report as requests: how fast
 * they are, the engine memory in use, and the demand of workspaces. Combines
 * this entry's own observations with the updates of others, and applies them to
 * the placement and admission of requests.
 */
class LoadTracker
{
public:
  explicit LoadTracker(LoadTrackerOptions aOptions);

  void OnListed(const ListedUpstream& aListed, Millis aNow);
  void OnUnlisted(const UpstreamId& aUpstream, Millis aNow);
  /** The upstream's process has ended, and its requests with it. To be called
   * before OnListed() states its successor. */
  void OnIncarnationEnded(const UpstreamId& aUpstream, Millis aNow);
  /** Sets the number of entries, this one included. */
  void SetEntries(size_t aEntries) { mEntries = aEntries; }
  /** See FairShare::SetWeights(). */
  void SetWeights(const RoutePolicy& aPolicy);

  bool UsesPerformance(const std::string& aService) const;
  bool UsesMemory(const std::string& aService) const;
  bool UsesShares(const std::string& aService) const;

  /** An upstream stated its contention. */
  void OnContention(const UpstreamId& aUpstream, double aFactor, Millis aNow);
  /** Output tokens that an event of the request's stream holds; 0 if it has no
   * events. */
  static uint32_t TokensPerEvent(const BoundRequest& aRequest);
  void OnSent(const BoundRequest& aRequest,
              const PlacedAttempt& aAttempt,
              Millis aNow);
  /** The first event of a stream was received. */
  void OnStarted(const PlacedAttempt& aAttempt);
  /** A later event of a stream was received aPause after the previous one. */
  void OnEvent(const PlacedAttempt& aAttempt,
               const EngineView& aEngine,
               Millis aPause,
               Millis aNow);
  /** aWhole: the response was complete. */
  void OnEnded(const PlacedAttempt& aAttempt, bool aWhole, Millis aNow);

  /** Sets what is known of the candidates' speed. */
  void Describe(const std::string& aService,
                std::vector<PlacementCandidate>& aCandidates,
                Millis aNow) const;
  /** Sets how a stream's bounds affect the cost of an engine, if they do. */
  void SetPaceCost(const BoundRequest& aRequest,
                   EngineInfo& aInfo,
                   Millis aNow) const;
  /**
   * Removes candidates without memory for the request. If none has any, the
   * verdict says what to do. Empty if memory does not matter.
   */
  std::optional<MemoryVerdict> CheckMemory(
    const BoundRequest& aRequest,
    uint64_t aAttempt,
    std::vector<PlacementCandidate>& aCandidates,
    Millis aNow);
  /** Whether the request is within its workspace's share. aPressure: 1 if
   * requests of its tier just meet their bounds, above 1 if they don't. */
  ShareVerdict CheckShare(const BoundRequest& aRequest,
                          double aPrefillPerMs,
                          double aPressure,
                          Millis aNow);
  /** A request within the share was refused for another reason. */
  void OnShareUnused(const BoundRequest& aRequest,
                     double aPrefillPerMs,
                     Millis aNow);

  /** Whether there is anything to tell others. */
  bool HasUpdate(Millis aNow) const;
  LoadUpdate TakeUpdate(Millis aNow);
  /** Ignores an update that is older than the last one of its sender. */
  void OnUpdate(const LoadUpdate& aUpdate, Millis aNow);

  /** Changes since the last call, for the log. */
  std::vector<SlowUpstreamChange> TakeSlowChanges();
  std::vector<WorkspaceShare> TakeShareChanges(Millis aNow);

  std::vector<SlowUpstream> Slow(Millis aNow) const;
  std::vector<WorkspaceShare> Shares(Millis aNow) const;
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
  /** The last update of another entry. */
  struct Peer
  {
    uint64_t mProcess = 0;
    uint64_t mSequence = 0;
    Millis mReceivedAt;
  };

  bool IsOn(PartMode aMode, const std::string& aService) const;
  /** Whether the request counts towards its workspace's share. */
  bool HasShare(const BoundRequest& aRequest) const;
  static ShareRequest ShareRequestOf(const BoundRequest& aRequest,
                                     double aPrefillPerMs,
                                     Millis aNow);
  double PaceWeight(uint8_t aTier) const;
  EngineSituation SituationAt(const EngineView& aEngine, Millis aNow) const;
  /** Removes what is out of date. */
  void Expire(Millis aNow);

  LoadTrackerOptions mOptions;
  UpstreamPerformance mPerformance;
  EnginePace mPace;
  EngineMemory mMemory;
  FairShare mShares;
  /** Whether any upstream has stated its contention to this entry. */
  bool mContentionStated = false;
  size_t mEntries = 1;
  uint64_t mSequence = 0;
  std::map<std::string, Peer> mPeers;
  Millis mExpiredAt;
  /** Usual time of a call without a prompt, by service, in milliseconds. */
  std::unordered_map<std::string, RunningMean> mCallMs;
};

} // namespace trefoilarch
