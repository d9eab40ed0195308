#pragma once

#include "adaptivelimit.h"
#include "millis.h"
#include "servicelevel.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoilarch {

/** Bounds of an UpstreamCapacity. */
struct UpstreamCapacityOptions
{
  uint64_t mInitialLimit = 16384;
  /** Lower bound of the limit. */
  uint64_t mMinLimit = 512;
  /** What the upstream itself can hold at a time, in tokens and in calls. */
  uint64_t mMaxLimit = 1048576;
  size_t mMaxRunning = 256;
};

/** What one attempt takes of an UpstreamCapacity, or would take. */
struct CapacityShare
{
  uint64_t mTokens = 0;
  /** Prompt tokens whose prefill has not been seen to end. */
  uint64_t mPrefill = 0;
  /**
   * A floor start, made outside the limit; it takes no capacity from higher
   * tiers.
   */
  bool mOutsideLimit = false;
  Tier mTier = 0;
};

/**
 * How much work the upstream may be given at a time.
 *
 * Two limits follow the measured times, for two causes. Tokens in flight make
 * each step longer, so their limit follows the time between tokens. Prompts in
 * prefill delay requests that start after them, so the limit on their tokens
 * follows the time to the first token. Plain services are counted in calls and
 * have no prefill.
 *
 * A tier reserves capacity for a burst of the higher tiers that were recently
 * seen, in proportion to the square root of what runs of them, as Poisson
 * arrivals vary; so they need not wait in the upstream's own queue. The highest
 * tiers may exceed the token limit, which is an estimate, but no regular start
 * exceeds what the upstream can hold. Capacity never drops to zero: a request
 * of any size fits if nothing runs. What runs outside the limit counts for its
 * own and lower tiers, never for a higher tier.
 */
class UpstreamCapacity
{
public:
  explicit UpstreamCapacity(UpstreamCapacityOptions aOptions);

  bool Fits(const CapacityShare& aShare) const;

  /** A request of the tier is present, running or waiting. */
  void OnTierSeen(Tier aTier, Millis aNow);

  void Take(const CapacityShare& aShare);
  void Release(const CapacityShare& aShare);

  /** Measured times as multiples of the allowed times. */
  void OnBetweenTokens(double aRatio, double aWeight);
  /**
   * aByPrefill: the prompts in prefill explain the time; otherwise the upstream
   * must have kept the request in a queue of its own.
   */
  void OnFirstToken(double aRatio, bool aByPrefill);
  /** A request with that share was kept out. */
  void OnLimited(const CapacityShare& aShare);
  void Adapt(Millis aNow);

  /** The upstream could not be reached: pauses, longer each time. */
  void OnUnreachable(Millis aNow);
  void OnReached() { mFailedConnects = 0; }
  /** Nothing may start before PauseEnd(). */
  bool IsPaused(Millis aNow) const { return aNow < mPauseEnd; }
  Millis PauseEnd() const { return mPauseEnd; }

  uint64_t Limit() const { return mTokenLimit.Value(); }
  uint64_t PrefillLimit() const { return mPrefillLimit.Value(); }
  size_t MaxRunning() const { return mOptions.mMaxRunning; }
  /** Tokens in flight, including those outside the limit. */
  uint64_t InFlight() const { return UsageFor(kTierCount - 1).mTokens; }
  uint64_t InPrefill() const { return UsageFor(kTierCount - 1).mPrefill; }
  size_t Running() const { return UsageFor(kTierCount - 1).mCalls; }

private:
  struct Usage
  {
    uint64_t mTokens = 0;
    uint64_t mPrefill = 0;
    size_t mCalls = 0;

    Usage& operator+=(const Usage& aOther);
  };

  /** The usage that counts for a request of that tier. */
  Usage UsageFor(Tier aTier) const;
  Usage& UsageOf(const CapacityShare& aShare);
  /** What the tier reserves for bursts of higher tiers. */
  Usage BurstReserve(Tier aTier) const;
  bool ExceedsTokens(const CapacityShare& aShare) const;
  bool ExceedsPrefill(const CapacityShare& aShare) const;

  UpstreamCapacityOptions mOptions;
  AdaptiveLimit mTokenLimit;
  AdaptiveLimit mPrefillLimit;
  std::array<Usage, kTierCount> mWithinLimit{};
  std::array<Usage, kTierCount> mOutsideLimit{};
  std::array<Millis, kTierCount> mTierSeenAt{};
  Millis mNow;
  uint32_t mFailedConnects = 0;
  Millis mPauseEnd;
};

} // namespace trefoilarch
