#pragma once

#include "enginemodel.h"
#include "millis.h"
#include "performance/paceforecast.h"
#include "placementcandidate.h"
#include "prefixcachetracker.h"
#include "prompt.h"
#include "upstreamwork.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace trefoilarch {

class SessionEngines;

/** How a stream would progress at an engine, and what its broken bounds cost,
 * in milliseconds. */
struct PlacementForecast
{
  PaceForecast mPace;
  double mCostMs = 0;

  bool operator==(const PlacementForecast&) const = default;
};

/** The chosen upstream and the request's work there. */
struct PlacementChoice
{
  UpstreamId mUpstream;
  AttemptWork mWork;
  /** Shared prompt tokens that the upstream is assumed not to have cached. */
  uint32_t mMissing = 0;
  /** How long the request waits there before its own prefill, in
   * milliseconds. */
  double mWaitMs = 0;
  /** Whether another upstream is known to have them cached. */
  bool mFetchable = false;
  /** Another upstream that may have cached what this one lacks, or empty. */
  UpstreamId mHolder;
  /** Zeros if there is none. */
  PlacementForecast mForecast{};

  bool operator==(const PlacementChoice&) const = default;
};

/** The cost of placing a request at an upstream, in milliseconds. */
using PlacementCost = std::function<
  double(const PlacementCandidate&, const PlacementChoice&, Millis)>;

/** What is known about a service's engines when one is chosen. */
struct EngineInfo
{
  /** Prompt tokens that an engine prefills in a millisecond, as learned. */
  double mPrefillPerMs = EngineModelOptions{}.mPriorPrefillPerMs;
  /** Cost of a less urgent pending token relative to one that is prefilled
   * first, as learned. */
  double mBehindCost = EngineModelOptions{}.mPriorBehindCost;
  /** Size of an engine's prefix cache; 0 if not given. */
  uint64_t mMemoryTokens = 0;
  /** How long a response holds one of an engine's slots, as learned; 0 if
   * unknown. */
  double mAnswerMs = 0;
  /** Whether other entries report what they send where. */
  bool mPeersReporting = false;
  /** Requests per engine and millisecond from entries that send updates and
   * from those that don't, estimated from this entry's own arrivals. */
  double mReportedPerMs = 0;
  double mUnreportedPerMs = 0;
  /** Interval between two updates of a peer. */
  double mReportIntervalMs = 0;
  /** Mean number of requests at an engine of the service, as far as known;
   * computed by WorkPlacement::Choose(). */
  double mMeanBusy = 0;
  /** How the request would progress at a candidate with this work there; empty
   * if unknown. */
  std::function<PlacementForecast(const PlacementCandidate&,
                                  const AttemptWork&)>
    mForecast{};
};

struct WorkPlacementOptions
{
  std::string mDataCentre;
  /** Cost of a shared prompt token that must be prefilled again, in tokens of
   * the request's own: its prefill delays all other requests at the engine. */
  double mSharedWeight = 5;
  /** The same if another engine is known to have it cached, so that it is
   * fetched. */
  double mFetchedWeight = 2;
  /** Cost of a millisecond of waiting relative to one of prefill: the
   * prefill delays all other requests at the engine, the wait delays this
   * request alone. */
  double mWaitWeight = 0.4;
  /** Cost of each request that runs at an engine. */
  double mBusyMs = 1.5;
  /** Without updates from other entries, this entry's pending prefill times
   * this estimates that of all entries. */
  double mSilentPeersFactor = 2;
  /** Cost per pool of distance from the route's own. */
  double mOtherPoolMs = 200;
  /** Cost of another data centre, in milliseconds. */
  double mOtherDataCentreMs = 2;
  /** The same for a plain service, whose upstreams are all alike. */
  double mPlainOtherDataCentreMs = 8;
  /** Duration of a plain call, to compare load with distance. */
  double mPlainCallMs = 50;
  /** Cost of an upstream that has just started. */
  double mColdMs = 40;
  /** Silence up to this is normal while an upstream prefills a long prompt. */
  Millis mNormalSilence{ 350 };
  /** If set, replaces all of the costs above, to compare other placement
   * algorithms. */
  PlacementCost mCost;
  uint64_t mSeed = 1;
};

/**
 * Chooses the upstream at which a request takes the least time, its own and
 * that of the requests beside it: prompt tokens to prefill, those of others
 * ahead of it, and the longer steps of a larger batch. A session's first engine
 * (see SessionEngines) is assumed to have its segments cached.
 */
class WorkPlacement
{
public:
  explicit WorkPlacement(WorkPlacementOptions aOptions);

  /** aCandidates must not be empty. */
  PlacementChoice Choose(const std::vector<PlacementCandidate>& aCandidates,
                         const PromptShape& aPrompt,
                         uint8_t aUrgency,
                         EngineInfo aInfo,
                         Millis aNow);

  PrefixCacheTracker& PrefixCaches() { return mPrefixCaches; }
  /** See WorkPlacementOptions::mNormalSilence. */
  Millis NormalSilence() const { return mOptions.mNormalSilence; }

private:
  /** An upstream with the work that it would be sent. */
  struct Option
  {
    const PlacementCandidate* mCandidate = nullptr;
    PlacementChoice mChoice;
    /** Shared tokens that it is known to have cached. */
    uint32_t mCached = 0;
    double mCost = 0;
  };

  /**
   * Returns the candidate with the least cost, or a random one of those that
   * may cost no more given the uncertainty: entries with the same old reports
   * would otherwise all send to the same engine.
   */
  const Option& Pick(const std::vector<Option>& aOptions,
                     const EngineInfo* aEngine,
                     Millis aNow);
  /** How long a request waits at the engine before its own prefill, in
   * milliseconds. */
  double WaitMs(const PlacementCandidate& aCandidate,
                uint8_t aUrgency,
                const EngineInfo& aInfo,
                Millis aNow) const;
  /** Requests at the engine: as reported, approaching the mean as the report
   * gets older than a response takes. */
  static double EstimatedBusy(const PlacementCandidate& aCandidate,
                              const EngineInfo& aInfo,
                              Millis aNow);
  /** Wait per request that is ahead in the queue for a slot. */
  static double SlotMs(const ListedUpstream& aListed, const EngineInfo& aInfo);
  /** The cost of the requests that others may have sent to that engine since
   * its last report, by which its total cost is uncertain. */
  double Uncertainty(const PlacementCandidate& aCandidate,
                     const EngineInfo& aInfo,
                     Millis aNow) const;
  /** An engine that may have cached what the chosen one lacks, or empty. */
  static UpstreamId HolderFor(const SessionEngines& aSession,
                              const std::optional<UpstreamId>& aLastHolder,
                              const UpstreamId& aChosen);
  double CostOf(const PlacementCandidate& aCandidate,
                const PlacementChoice& aChoice,
                const EngineInfo* aEngine,
                Millis aNow) const;
  double EngineCost(const PlacementCandidate& aCandidate,
                    const PlacementChoice& aChoice,
                    const EngineInfo& aInfo,
                    Millis aNow) const;
  double PlainCost(const PlacementCandidate& aCandidate, Millis aNow) const;
  double Distance(const PlacementCandidate& aCandidate, double aMs) const;
  double SilenceCost(const PlacementCandidate& aCandidate, Millis aNow) const;

  WorkPlacementOptions mOptions;
  PrefixCacheTracker mPrefixCaches;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
