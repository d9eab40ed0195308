#pragma once

#include "millis.h"
#include "prefixmemory.h"
#include "prompt.h"
#include "upstreamdirectory.h"
#include "upstreamwork.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace trefoilarch {

/** The weights by which upstreams are compared. */
struct WorkPlacementOptions
{
  std::string mDataCentre;
  /** Prompt tokens that an engine reads in a millisecond; engines in use
   * today read 75 to 94. */
  double mPrefillPerMs = 80;
  /** Milliseconds that each request of the batch adds to a token's step. */
  double mStepPerBusyMs = 0.11;
  /** Milliseconds that it is worth to stay in the own data centre. */
  double mOtherDataCentreMs = 2;
  /** The same for a plain service, whose upstreams are all alike. */
  double mPlainOtherDataCentreMs = 8;
  /** How long a plain call lasts, for comparing load with distance. */
  double mPlainCallMs = 50;
  /** Silence up to this is usual while an upstream reads a long prompt. */
  Millis mUsualSilence{ 350 };
  uint64_t mSeed = 1;
};

/** An upstream that may be chosen. */
struct PlacementCandidate
{
  const ListedUpstream* mListed = nullptr;
  const UpstreamWork* mWork = nullptr;
};

/** The chosen upstream and what the request asks of it. */
struct Placed
{
  UpstreamId mUpstream;
  AttemptWork mWork;

  bool operator==(const Placed&) const = default;
};

/**
 * Chooses the upstream at which a request costs least time, its own and that
 * of the requests beside it: prompt tokens to be read, those of others before
 * it, and the longer steps of a larger batch.
 *
 * Every session has a preferred upstream by rendezvous hash, which is taken to
 * hold the session's parts: entries need not tell each other what they sent
 * where.
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
  double EngineCost(const PlacementCandidate& aCandidate,
                    const AttemptWork& aWork,
                    Millis aNow) const;
  double PlainCost(const PlacementCandidate& aCandidate, Millis aNow) const;
  double Distance(const PlacementCandidate& aCandidate, double aMs) const;
  double SilenceCost(const UpstreamWork& aWork, Millis aNow) const;

  WorkPlacementOptions mOptions;
  PrefixMemory mMemory;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
