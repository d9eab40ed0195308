#pragma once

#include "millis.h"
#include "servicelevel.h"

#include <array>
#include <cstdint>

namespace trefoilarch {

/**
 * The measured performance of an upstream: how long a request takes, how many
 * tokens it processes, and how many of them each tier uses.
 *
 * While requests wait, the capacity is the measured rate of starts. Otherwise
 * that rate only reflects the demand, and the capacity follows from Little's
 * law: limit / mean time in flight.
 */
class ServiceRate
{
public:
  /**
   * aPrefillTokens: prompt tokens in prefill when it started, including its
   * own.
   */
  void OnFirstToken(uint32_t aPromptTokens,
                    uint64_t aPrefillTokens,
                    Millis aDuration);
  /** aTokens arrived aDuration after the previous ones. */
  void OnTokens(uint32_t aTokens, Millis aDuration, Millis aNow);
  /**
   * A request that held aTokens, aOutput of them generated, has ended,
   * aDuration after its start.
   */
  void OnEnded(uint64_t aTokens, uint64_t aOutput, Millis aDuration);
  /** A request was dispatched. */
  void OnDispatched(Tier aTier, bool aLate, uint64_t aTokens, Millis aNow);

  /** The next request to dispatch found no free capacity. */
  void OnBlocked(Millis aNow);

  /** Tokens per millisecond; 0 while nothing has been measured. */
  double Capacity(uint64_t aLimit, Millis aNow) const;
  /**
   * Tokens per millisecond left for the tier's requests, of which those on time
   * go first; 0 while nothing has been measured.
   */
  double DrainRate(Tier aTier, bool aLate, uint64_t aLimit, Millis aNow) const;
  /** Mean tokens of a request; 0 while nothing has been measured. */
  double MeanTokens() const;
  /** Mean length of a response, for requests without an estimate. */
  uint64_t MeanOutput() const { return static_cast<uint64_t>(mMeanOutput); }

  /** From start to first token; 0 while nothing has been measured. */
  Millis FirstTokenTime(uint32_t aPromptTokens) const;
  /** Best measured time for the prefill of that many tokens. */
  Millis BestPrefillTime(uint64_t aTokens) const;
  /**
   * From start to end. Assumes half the estimated output, because requests are
   * refused by this value.
   */
  Millis MinDuration(uint32_t aPromptTokens, uint32_t aOutputTokens) const;
  /**
   * Mean time between tokens in milliseconds if measured recently, else 0, so
   * that a slow upstream is tried again.
   */
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
  /** Minimum time per token of a long prefill, which slowly expires. */
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
