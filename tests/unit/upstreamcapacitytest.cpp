#include "libtrefoilarch/upstreamcapacity.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace trefoilarch;

namespace {

constexpr UpstreamCapacityOptions kOptions{ .mInitialLimit = 16000,
                                            .mMaxLimit = 64000,
                                            .mMaxRunning = 64 };
constexpr Millis kWindow{ 250 };

/** Adds windows of equal measurements, in each of which the limit blocks a
 * request. */
void
MeasureWindows(UpstreamCapacity& aCapacity,
               double aBetween,
               int aWindows,
               Millis& aNow)
{
  const CapacityShare share{ .mTokens = 1000000 };
  for (int window = 0; window < aWindows; ++window) {
    aNow += kWindow;
    aCapacity.OnLimited(share);
    aCapacity.OnBetweenTokens(aBetween, 10);
    aCapacity.Adapt(aNow);
  }
}

} // namespace

/**
 * Whatever is measured, the limit neither drops to zero nor exceeds its bound,
 * and what has been released is free again.
 */
Test(capacity, the_limit_stays_above_zero_and_within_its_bound)
{
  const bool holds = rc::check([] {
    UpstreamCapacity capacity(kOptions);
    Millis now(1000);
    std::vector<CapacityShare> running;
    const int steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
      now += Millis(*rc::gen::inRange(0, 400));
      const CapacityShare share{
        .mTokens = *rc::gen::inRange<uint64_t>(1, 100000),
        .mPrefill = *rc::gen::inRange<uint64_t>(0, 8000),
        .mOutsideLimit = *rc::gen::inRange(0, 10) == 0,
        .mTier = *rc::gen::inRange<Tier>(0, kTierCount),
      };
      if (running.empty()) {
        RC_ASSERT(capacity.Fits(share));
      }
      if (share.mOutsideLimit || capacity.Fits(share)) {
        capacity.OnTierSeen(share.mTier, now);
        capacity.Take(share);
        running.push_back(share);
      } else if (!running.empty() && *rc::gen::arbitrary<bool>()) {
        capacity.OnLimited(share);
        capacity.Release(running.back());
        running.pop_back();
      }
      capacity.OnBetweenTokens(*rc::gen::inRange(1, 500) / 100.0, 5);
      capacity.OnFirstToken(*rc::gen::inRange(1, 500) / 100.0,
                            *rc::gen::arbitrary<bool>());
      capacity.Adapt(now);
      RC_ASSERT(capacity.Limit() >= kOptions.mMinLimit);
      RC_ASSERT(capacity.Limit() <= kOptions.mMaxLimit);
    }
    for (const CapacityShare& share : running) {
      capacity.Release(share);
    }
    RC_ASSERT(capacity.Running() == 0);
    RC_ASSERT(capacity.InFlight() == 0);
    RC_ASSERT(capacity.InPrefill() == 0);
  });
  cr_assert(holds);
}

/**
 * Times within the targets raise the limit to its bound; times above them lower
 * it, and when they are good again it recovers.
 */
Test(capacity, follows_the_measured_times)
{
  UpstreamCapacity capacity(kOptions);
  Millis now(1000);
  MeasureWindows(capacity, 0.5, 40, now);
  cr_assert_eq(capacity.Limit(), kOptions.mMaxLimit);
  capacity.Take({ .mTokens = kOptions.mMaxLimit });
  MeasureWindows(capacity, 1.5, 1, now);
  const uint64_t shrunk = capacity.Limit();
  cr_assert_lt(shrunk, kOptions.mMaxLimit);
  MeasureWindows(capacity, 1.5, 5, now);
  cr_assert_eq(capacity.Limit(), shrunk, "waits until the use has decreased");
  capacity.Release({ .mTokens = kOptions.mMaxLimit });
  MeasureWindows(capacity, 0.5, 40, now);
  cr_assert_eq(capacity.Limit(), kOptions.mMaxLimit);
}

/**
 * An upstream that is three times too slow from the start keeps its limit, as a
 * lower one would not make it faster.
 */
Test(capacity, does_not_shrink_if_that_gains_nothing)
{
  UpstreamCapacity capacity(kOptions);
  Millis now(1000);
  capacity.Take({ .mTokens = kOptions.mInitialLimit });
  MeasureWindows(capacity, 3, 100, now);
  cr_assert_geq(capacity.Limit(), kOptions.mInitialLimit);
  capacity.Release({ .mTokens = kOptions.mInitialLimit });
  capacity.Take({ .mTokens = capacity.Limit() });
  const uint64_t before = capacity.Limit();
  MeasureWindows(capacity, 6, 1, now);
  cr_assert_lt(
    capacity.Limit(), before, "times worse than the best lower the limit");
}

/** A lower tier leaves capacity for a burst of a higher one that was seen. */
Test(capacity, lower_tier_leaves_capacity_for_a_burst)
{
  const auto fittingCalls = [](bool aSeen) {
    UpstreamCapacity capacity(
      { .mInitialLimit = 100, .mMaxLimit = 100, .mMaxRunning = 100 });
    if (aSeen) {
      capacity.OnTierSeen(0, Millis(1000));
    }
    for (int i = 0; i < 16; ++i) {
      capacity.Take({ .mTokens = 1, .mTier = 0 });
    }
    int count = 0;
    const CapacityShare lower{ .mTokens = 1, .mTier = 3 };
    for (; capacity.Fits(lower); ++count) {
      capacity.Take(lower);
    }
    cr_assert(capacity.Fits({ .mTokens = 1, .mTier = 0 }) == aSeen);
    return count;
  };
  cr_assert_eq(fittingCalls(false), 84);
  cr_assert_eq(fittingCalls(true), 80);
}

/** What runs outside the limit takes no capacity from higher tiers. */
Test(capacity, use_outside_the_limit_counts_only_for_lower_tiers)
{
  UpstreamCapacity capacity(
    { .mInitialLimit = 100, .mMaxLimit = 100, .mMaxRunning = 100 });
  capacity.Take({ .mTokens = 90, .mOutsideLimit = true, .mTier = 2 });
  cr_assert(capacity.Fits({ .mTokens = 100, .mTier = 1 }));
  cr_assert_not(capacity.Fits({ .mTokens = 20, .mTier = 2 }));
  cr_assert_not(capacity.Fits({ .mTokens = 20, .mTier = 3 }));
}

/**
 * An unreachable upstream is tried again, one call at a time, less and less
 * often.
 */
Test(capacity, pauses_for_an_unreachable_upstream)
{
  UpstreamCapacity capacity(kOptions);
  Millis now(1000);
  Millis last;
  for (int i = 0; i < 8; ++i) {
    capacity.OnUnreachable(now);
    const Millis pause = capacity.PauseEnd() - now;
    cr_assert(pause >= last && pause <= Millis(1600));
    cr_assert(capacity.IsPaused(now));
    last = pause;
    now = capacity.PauseEnd();
    cr_assert_not(capacity.IsPaused(now));
  }
  const CapacityShare call{ .mTokens = 1 };
  cr_assert(capacity.Fits(call));
  capacity.Take(call);
  cr_assert_not(capacity.Fits(call));
  capacity.OnReached();
  cr_assert(capacity.Fits(call));
}
