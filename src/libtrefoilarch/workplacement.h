#pragma once

#include "millis.h"
#include "placementcandidate.h"
#include "prefixmemory.h"
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
struct Placed
{
  UpstreamId mUpstream;
  AttemptWork mWork;
  /** Shared prompt tokens that the upstream seems not to hold. */
  uint32_t mMissing = 0;
  /** Some other upstream surely holds them. */
  bool mFetchable = false;
  /** Empty, or another upstream that may hold what this one lacks. */
  UpstreamId mHolder;

  bool operator==(const Placed&) const = default;
};

/** What it costs to place a request at an upstream, in milliseconds. */
using PlacementCost =
  std::function<double(const PlacementCandidate&, const Placed&, Millis)>;

/** The weights by which upstreams are compared. */
struct WorkPlacementOptions
{
  std::string mDataCentre;
  /** Prompt tokens that an engine reads in a millisecond; engines in use
   * today read 75 to 94. */
  double mPrefillPerMs = 80;
  /** What a shared prompt token weighs that has to be read again, in
   * milliseconds, its reading included: 6,000 of them weigh as much as 375 ms
   * of the caller's time. */
  double mSharedTokenMs = 0.0625;
  /** The same where another engine surely holds it, so that it is fetched. */
  double mFetchedTokenMs = 0.024;
  /** Each request that runs at an engine weighs as much as this. */
  double mBusyMs = 1.5;
  /** This entry's prompts that wait to be read, times this, stand for those
   * of all entries. */
  double mOthersFactor = 2;
  /** Each lane between weighs as much as this. */
  double mOtherLaneMs = 200;
  /** Milliseconds that it is worth to stay in the own data centre. */
  double mOtherDataCentreMs = 2;
  /** The same for a plain service, whose upstreams are all alike. */
  double mPlainOtherDataCentreMs = 8;
  /** How long a plain call lasts, for comparing load with distance. */
  double mPlainCallMs = 50;
  /** An upstream that has just started is worth avoiding by as much. */
  double mColdMs = 40;
  /** Silence up to this is usual while an upstream reads a long prompt. */
  Millis mUsualSilence{ 350 };
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
  Placed Choose(const std::vector<PlacementCandidate>& aCandidates,
                const PromptShape& aPrompt,
                Millis aNow);

  PrefixMemory& Memory() { return mMemory; }

private:
  /** Empty, or an engine that may hold what the chosen one lacks. */
  static UpstreamId HolderFor(const SessionEngines& aSession,
                              const std::optional<UpstreamId>& aLast,
                              const UpstreamId& aChosen);
  double CostOf(const PlacementCandidate& aCandidate,
                const Placed& aPlaced,
                bool aEngine,
                Millis aNow) const;
  double EngineCost(const PlacementCandidate& aCandidate,
                    const Placed& aPlaced,
                    Millis aNow) const;
  double PlainCost(const PlacementCandidate& aCandidate, Millis aNow) const;
  double Distance(const PlacementCandidate& aCandidate, double aMs) const;
  double SilenceCost(const UpstreamWork& aWork, Millis aNow) const;

  WorkPlacementOptions mOptions;
  PrefixMemory mMemory;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
