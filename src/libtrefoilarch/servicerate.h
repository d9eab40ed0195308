#pragma once

#include "millis.h"
#include "servicelevel.h"

#include <array>
#include <cstdint>

namespace trefoilarch {

/**
 * What an upstream has been measured to do: how long a request takes, how many
 * tokens it gets through, and how many of them each tier takes.
 *
 * While requests have to wait, the capacity is the measured rate of starts.
 * Otherwise that rate says only what was asked for, and the capacity follows
 * from Little's law: limit / mean time in flight.
 */
class ServiceRate
{
public:
  /** aAhead: prompt tokens in prefill at its start, its own with them. */
  void OnFirstToken(uint32_t aPromptTokens,
                    uint64_t aPrefillTokens,
                    Millis aDuration);
  /** aTokens came aSpan after the ones before. */
  void OnTokens(uint32_t aTokens, Millis aDuration, Millis aNow);
  /** A request that held aTokens, aOutput of them generated, has ended,
   * aSpan after its start. */
  void OnEnded(uint64_t aTokens, uint64_t aOutput, Millis aDuration);
  /** A request got its turn. */
  void OnDispatched(Tier aTier, bool aLate, uint64_t aTokens, Millis aNow);

  /** A request that had its turn found no room. */
  void OnBlocked(Millis aNow);

  /** Tokens per millisecond; 0 while nothing has been measured. */
  double Capacity(uint64_t aLimit, Millis aNow) const;
  /**
   * Tokens per millisecond that are left for the tier's requests, of which
   * those on time go first; 0 while nothing has been measured.
   */
  double DrainRate(Tier aTier, bool aLate, uint64_t aLimit, Millis aNow) const;
  /** Mean tokens of a request; 0 while nothing has been measured. */
  double MeanTokens() const;
  /** Mean length of an answer, for those that come without an estimate. */
  uint64_t MeanOutput() const { return static_cast<uint64_t>(mMeanOutput); }

  /** From start to first token; 0 while nothing has been measured. */
  Millis FirstTokenTime(uint32_t aPromptTokens) const;
  /** For the prefill of that many tokens, where it went best. */
  Millis BestPrefillTime(uint64_t aTokens) const;
  /** From start to end, taking the estimate of the output as twice too long,
   * since a request is refused by it. */
  Millis MinDuration(uint32_t aPromptTokens, uint32_t aOutputTokens) const;
  /** Mean time between tokens in milliseconds, if it was measured lately;
   * otherwise 0, so that a slow upstream is tried again. */
  double BetweenTokens(Millis aNow) const;

private:
  /** A sum that decays with a fixed time constant. */
  struct DecayingRate
  {
    double mTokens = 0;
    Millis mUpdatedAt;

    void Add(double aTokens, Millis aNow);
    double Rate(Millis aNow) const;
  };

  double mFirstTokenBase = 0;
  double mFirstTokenSlope = 0;
  bool mFirstTokenSeen = false;
  /** The least time for each token of a long prefill, slowly forgotten. */
  double mBestSlope = 0;
  double mBetweenTokens = 0;
  Millis mBetweenTokensAt;
  double mTokenTime = 0;
  double mTokens = 0;
  double mRequests = 0;
  double mMeanOutput = 0;
  std::array<std::array<DecayingRate, 2>, kTierCount> mTierRates;
  Millis mBlockedSince;
  Millis mBlockedAt;
};

} // namespace trefoilarch
