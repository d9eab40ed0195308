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

/** Windows of equal measurements while somebody wants more room. */
void
Measure(UpstreamCapacity& aRoom, double aBetween, int aWindows, Millis& aNow)
{
  const CapacityShare wanted{ .mTokens = 1000000 };
  for (int window = 0; window < aWindows; ++window) {
    aNow += kWindow;
    aRoom.OnWanted(wanted);
    aRoom.OnBetweenTokens(aBetween, 10);
    aRoom.Adapt(aNow);
  }
}

} // namespace

/** Whatever is measured, the room neither closes nor grows past its bound, and
 * what has been released is free again. */
Test(room, never_closes)
{
  const bool holds = rc::check([] {
    UpstreamCapacity room(kOptions);
    Millis now(1000);
    std::vector<CapacityShare> running;
    const int steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
      now += Millis(*rc::gen::inRange(0, 400));
      const CapacityShare share{
        .mTokens = *rc::gen::inRange<uint64_t>(1, 100000),
        .mPrefill = *rc::gen::inRange<uint64_t>(0, 8000),
        .mBeside = *rc::gen::inRange(0, 10) == 0,
        .mTier = *rc::gen::inRange<Tier>(0, kTierCount),
      };
      if (running.empty()) {
        RC_ASSERT(room.Fits(share));
      }
      if (share.mBeside || room.Fits(share)) {
        room.OnSeen(share.mTier, now);
        room.Take(share);
        running.push_back(share);
      } else if (!running.empty() && *rc::gen::arbitrary<bool>()) {
        room.OnWanted(share);
        room.Release(running.back());
        running.pop_back();
      }
      room.OnBetweenTokens(*rc::gen::inRange(1, 500) / 100.0, 5);
      room.OnFirstToken(*rc::gen::inRange(1, 500) / 100.0,
                        *rc::gen::arbitrary<bool>());
      room.Adapt(now);
      RC_ASSERT(room.Limit() >= kOptions.mMinLimit);
      RC_ASSERT(room.Limit() <= kOptions.mMaxLimit);
    }
    for (const CapacityShare& share : running) {
      room.Release(share);
    }
    RC_ASSERT(room.Running() == 0);
    RC_ASSERT(room.InFlight() == 0);
    RC_ASSERT(room.InPrefill() == 0);
  });
  cr_assert(holds);
}

/** Times within the targets widen the room to its bound; once they exceed the
 * targets it shrinks, and when they are good again it comes back. */
Test(room, follows_the_measured_times)
{
  UpstreamCapacity room(kOptions);
  Millis now(1000);
  Measure(room, 0.5, 40, now);
  cr_assert_eq(room.Limit(), kOptions.mMaxLimit);
  room.Take({ .mTokens = kOptions.mMaxLimit });
  Measure(room, 1.5, 1, now);
  const uint64_t shrunk = room.Limit();
  cr_assert_lt(shrunk, kOptions.mMaxLimit);
  Measure(room, 1.5, 5, now);
  cr_assert_eq(room.Limit(), shrunk, "waits until the use has come down");
  room.Release({ .mTokens = kOptions.mMaxLimit });
  Measure(room, 0.5, 40, now);
  cr_assert_eq(room.Limit(), kOptions.mMaxLimit);
}

/** An upstream that is three times too slow from the first keeps its room:
 * less would not make it quicker. */
Test(room, does_not_shrink_for_what_it_cannot_better)
{
  UpstreamCapacity room(kOptions);
  Millis now(1000);
  room.Take({ .mTokens = kOptions.mInitialLimit });
  Measure(room, 3, 100, now);
  cr_assert_geq(room.Limit(), kOptions.mInitialLimit);
  room.Release({ .mTokens = kOptions.mInitialLimit });
  room.Take({ .mTokens = room.Limit() });
  const uint64_t before = room.Limit();
  Measure(room, 6, 1, now);
  cr_assert_lt(room.Limit(), before, "what is worse than its best can be");
}

/** A lower tier leaves room for a burst of a higher one that was seen. */
Test(room, lower_tier_leaves_room_for_a_burst)
{
  const auto places = [](bool aSeen) {
    UpstreamCapacity room(
      { .mInitialLimit = 100, .mMaxLimit = 100, .mMaxRunning = 100 });
    if (aSeen) {
      room.OnSeen(0, Millis(1000));
    }
    for (int i = 0; i < 16; ++i) {
      room.Take({ .mTokens = 1, .mTier = 0 });
    }
    int count = 0;
    const CapacityShare lower{ .mTokens = 1, .mTier = 3 };
    for (; room.Fits(lower); ++count) {
      room.Take(lower);
    }
    cr_assert(room.Fits({ .mTokens = 1, .mTier = 0 }) == aSeen);
    return count;
  };
  cr_assert_eq(places(false), 84);
  cr_assert_eq(places(true), 80);
}

/** What runs beside the room takes no place from the tiers above. */
Test(room, beside_counts_only_downwards)
{
  UpstreamCapacity room(
    { .mInitialLimit = 100, .mMaxLimit = 100, .mMaxRunning = 100 });
  room.Take({ .mTokens = 90, .mBeside = true, .mTier = 2 });
  cr_assert(room.Fits({ .mTokens = 100, .mTier = 1 }));
  cr_assert_not(room.Fits({ .mTokens = 20, .mTier = 2 }));
  cr_assert_not(room.Fits({ .mTokens = 20, .mTier = 3 }));
}

/** An upstream that can't be reached is tried again, one call at a time, more
 * and more rarely. */
Test(room, pauses_for_an_upstream_out_of_reach)
{
  UpstreamCapacity room(kOptions);
  Millis now(1000);
  Millis last;
  for (int i = 0; i < 8; ++i) {
    room.OnUnreachable(now);
    const Millis pause = room.PauseEnd() - now;
    cr_assert(pause >= last && pause <= Millis(1600));
    cr_assert(room.IsPaused(now));
    last = pause;
    now = room.PauseEnd();
    cr_assert_not(room.IsPaused(now));
  }
  const CapacityShare call{ .mTokens = 1 };
  cr_assert(room.Fits(call));
  room.Take(call);
  cr_assert_not(room.Fits(call));
  room.OnReached();
  cr_assert(room.Fits(call));
}
