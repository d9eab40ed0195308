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
  /** The limit never falls below this. */
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
  /** Beside the room: a floor start, which takes no place from tiers above
   * its own. */
  bool mOutsideLimit = false;
  Tier mTier = 0;
};

/**
 * How much the upstream may be given at a time.
 *
 * Two limits follow the measured times, for two causes. Tokens in flight make
 * each step longer, so their limit follows the time between tokens. Prompts in
 * prefill hold up whoever starts after them, so the limit on their tokens
 * follows the time to the first token. Plain services are counted in calls,
 * and have no prefill.
 *
 * A tier leaves room for a burst of the higher tiers that were seen lately, in
 * proportion to the root of what runs of them, as Poisson arrivals vary; so
 * they need not wait in the upstream's own queue. The highest tiers may go
 * beyond the limit on tokens, which is an estimate, but no regular start goes
 * beyond what the upstream can hold. The room never closes: a request of any
 * size fits where nothing runs. What runs beside the room counts for its own
 * tier and those below, never for a tier above.
 */
class UpstreamCapacity
{
public:
  explicit UpstreamCapacity(UpstreamCapacityOptions aOptions);

  bool Fits(const CapacityShare& aShare) const;

  /** A request of the tier is here, running or waiting. */
  void OnTierSeen(Tier aTier, Millis aNow);

  void Take(const CapacityShare& aShare);
  void Release(const CapacityShare& aShare);

  /** Measured times as multiples of what they may be at the most. */
  void OnBetweenTokens(double aRatio, double aWeight);
  /** aByPrefill: the prompts in prefill explain the time; otherwise the
   * upstream must have kept the request in a queue of its own. */
  void OnFirstToken(double aRatio, bool aByPrefill);
  /** Somebody with that share was kept out. */
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
  /** Tokens in flight, those beside the room with them. */
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

  /** What counts for a request of that tier. */
  Usage UsageFor(Tier aTier) const;
  Usage& UsageOf(const CapacityShare& aShare);
  /** What the tier leaves for bursts of higher tiers. */
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
