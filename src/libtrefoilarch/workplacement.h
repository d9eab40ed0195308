#pragma once

#include "enginemodel.h"
#include "millis.h"
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

/** The chosen upstream and what the request asks of it. */
struct PlacementChoice
{
  UpstreamId mUpstream;
  AttemptWork mWork;
  /** Shared prompt tokens that the upstream seems not to hold. */
  uint32_t mMissing = 0;
  /** How long the request waits there before its own prompt is read, in
   * milliseconds. */
  double mWaitMs = 0;
  /** Some other upstream surely holds them. */
  bool mFetchable = false;
  /** Empty, or another upstream that may hold what this one lacks. */
  UpstreamId mHolder;

  bool operator==(const PlacementChoice&) const = default;
};

/** What it costs to place a request at an upstream, in milliseconds. */
using PlacementCost = std::function<
  double(const PlacementCandidate&, const PlacementChoice&, Millis)>;

/** What is known of a service's engines when one is chosen. */
struct EngineInfo
{
  /** Prompt tokens that an engine reads in a millisecond, as learnt. */
  double mPrefillPerMs = EngineModelOptions{}.mPriorPrefillPerMs;
  /** What a less urgent token that waits there costs beside one that is read
   * first, as learnt. */
  double mBehindCost = EngineModelOptions{}.mPriorBehindCost;
  /** What an engine keeps; 0: not told. */
  uint64_t mMemoryTokens = 0;
  /** How long an answer holds one of an engine's slots, as learnt; 0: not
   * known. */
  double mAnswerMs = 0;
  /** Other entries tell what they send where. */
  bool mPeersReporting = false;
  /** Requests that entries which tell, and entries which do not, send to each
   * engine in a millisecond, by what comes here. */
  double mReportedPerMs = 0;
  double mUnreportedPerMs = 0;
  /** Between two messages of an entry that tells. */
  double mReportIntervalMs = 0;
  /** Requests that an engine of the service has on average, as far as known;
   * worked out by WorkPlacement::Choose(). */
  double mMeanBusy = 0;
};

/** The weights by which upstreams are compared. */
struct WorkPlacementOptions
{
  std::string mDataCentre;
  /** What a shared prompt token weighs that has to be read again, in tokens
   * of the request's own: its reading holds up all others at the engine. */
  double mSharedWeight = 5;
  /** The same where another engine surely holds it, so that it is fetched. */
  double mFetchedWeight = 2;
  /** What a millisecond of waiting weighs beside one of reading: the reading
   * holds up all others at the engine, the waiting this request alone. At 1
   * and 0.4 the mean worth of days with trouble was 0.800 and 0.806, 0.810 and
   * 0.814, 0.811 and 0.820 at 18 engines (three pairs of trials). */
  double mWaitWeight = 0.4;
  /** Each request that runs at an engine weighs as much as this. */
  double mBusyMs = 1.5;
  /** This entry's prompts that wait to be read, times this, stand for those
   * of all entries where the others are not heard. */
  double mSilentPeersFactor = 2;
  /** Each lane between weighs as much as this. */
  double mOtherPoolMs = 200;
  /** Milliseconds that it is worth to stay in the own data centre. */
  double mOtherDataCentreMs = 2;
  /** The same for a plain service, whose upstreams are all alike. */
  double mPlainOtherDataCentreMs = 8;
  /** How long a plain call lasts, for comparing load with distance. */
  double mPlainCallMs = 50;
  /** An upstream that has just started is worth avoiding by as much. */
  double mColdMs = 40;
  /** Silence up to this is usual while an upstream reads a long prompt. */
  Millis mNormalSilence{ 350 };
  /** Where set, upstreams are compared by this instead of all of the above,
   * to measure another way of placement by. */
  PlacementCost mCost;
  uint64_t mSeed = 1;
};

/**
 * Chooses the upstream at which a request costs least time, its own and that
 * of the requests beside it: prompt tokens to be read, those of others before
 * it, and the longer steps of a larger batch.
 * A session's first engine (SessionEngines) is taken to hold its parts.
 */
class WorkPlacement
{
public:
  explicit WorkPlacement(WorkPlacementOptions aOptions);

  /** aCandidates must not be empty. */
  PlacementChoice Choose(const std::vector<PlacementCandidate>& aCandidates,
                         const PromptShape& aPrompt,
                         uint8_t aUrgency,
                         EngineInfo aFacts,
                         Millis aNow);

  PrefixCacheTracker& PrefixCaches() { return mMemory; }
  /** See WorkPlacementOptions::mNormalSilence. */
  Millis NormalSilence() const { return mOptions.mNormalSilence; }

private:
  /** An upstream with what it would be sent. */
  struct Option
  {
    const PlacementCandidate* mCandidate = nullptr;
    PlacementChoice mPlaced;
    /** Shared tokens that it surely holds. */
    uint32_t mKnown = 0;
    double mCost = 0;
  };

  /**
   * The one that costs least, or one that may cost no more as far as anybody
   * here can know: entries that all went by the same old news would all send
   * to the same engine.
   */
  const Option& Pick(const std::vector<Option>& aOptions,
                     const EngineInfo* aEngine,
                     Millis aNow);
  /** How long a request waits at the engine before its own prompt is read, in
   * milliseconds. */
  double WaitMs(const PlacementCandidate& aCandidate,
                uint8_t aUrgency,
                const EngineInfo& aFacts,
                Millis aNow) const;
  /** Requests at the engine: what is known of it, or what is usual where that
   * is older than an answer takes. */
  static double BusyAt(const PlacementCandidate& aCandidate,
                       const EngineInfo& aFacts,
                       Millis aNow);
  /** How long a request waits for each one before it that waits for a slot. */
  static double SlotMs(const ListedUpstream& aListed, const EngineInfo& aFacts);
  /** What the requests cost that others may have sent to that engine since it
   * was last told of: so much its cost may be off. */
  double Uncertainty(const PlacementCandidate& aCandidate,
                     const EngineInfo& aFacts,
                     Millis aNow) const;
  /** Empty, or an engine that may hold what the chosen one lacks. */
  static UpstreamId HolderFor(const SessionEngines& aSession,
                              const std::optional<UpstreamId>& aLast,
                              const UpstreamId& aChosen);
  double CostOf(const PlacementCandidate& aCandidate,
                const PlacementChoice& aPlaced,
                const EngineInfo* aEngine,
                Millis aNow) const;
  double EngineCost(const PlacementCandidate& aCandidate,
                    const PlacementChoice& aPlaced,
                    const EngineInfo& aFacts,
                    Millis aNow) const;
  double PlainCost(const PlacementCandidate& aCandidate, Millis aNow) const;
  double Distance(const PlacementCandidate& aCandidate, double aMs) const;
  double SilenceCost(const PlacementCandidate& aCandidate, Millis aNow) const;

  WorkPlacementOptions mOptions;
  PrefixCacheTracker mMemory;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
