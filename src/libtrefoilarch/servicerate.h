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
 * The capacity follows from Little's law, limit / mean time in flight, so it
 * holds also for an upstream that is not busy all the time, and changes at
 * once with the limit.
 */
class ServiceRate
{
public:
  void OnFirstToken(uint32_t aPromptTokens, Millis aSpan);
  /** aTokens came aSpan after the ones before. */
  void OnTokens(uint32_t aTokens, Millis aSpan);
  /** A request that held aTokens has ended, aSpan after its start. */
  void OnEnded(uint64_t aTokens, Millis aSpan);
  /** A request got its turn. */
  void OnTurn(Tier aTier, bool aLate, uint64_t aTokens, Millis aNow);

  /** Tokens per millisecond; 0 while nothing has been measured. */
  double Capacity(uint64_t aLimit) const;
  /**
   * Tokens per millisecond that are left for the tier's requests, of which
   * those on time go first; 0 while nothing has been measured.
   */
  double Drain(Tier aTier, bool aLate, uint64_t aLimit, Millis aNow) const;
  /** Mean tokens of a request; 0 while nothing has been measured. */
  double MeanTokens() const;

  /** From start to first token; 0 while nothing has been measured. */
  Millis FirstTokenTime(uint32_t aPromptTokens) const;
  /** The same for a long prompt where it went best; 0 for a short one. */
  Millis BestFirstTokenTime(uint32_t aPromptTokens) const;
  /** From start to end, taking the estimate of the output as twice too long,
   * since a request is refused by it. */
  Millis LeastTime(uint32_t aPromptTokens, uint32_t aOutputTokens) const;
  /** Mean time between tokens in milliseconds. */
  double BetweenTokens() const { return mBetween; }

private:
  /** A sum that decays with a fixed time constant. */
  struct Flow
  {
    double mTokens = 0;
    Millis mAt;

    void Add(double aTokens, Millis aNow);
    double Rate(Millis aNow) const;
  };

  double mFirstTokenBase = 0;
  double mFirstTokenSlope = 0;
  bool mFirstTokenSeen = false;
  /** The least time for each token of a long prompt, slowly forgotten. */
  double mBestSlope = 0;
  double mBetween = 0;
  double mTokenTime = 0;
  double mTokens = 0;
  double mRequests = 0;
  std::array<std::array<Flow, 2>, kTierCount> mFlows;
};

} // namespace trefoilarch
