#include "randomload.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>

using namespace trefoilarch;
using namespace replay;

/**
 * With random arrivals, lengths, engine speeds, withdrawals and unused grants:
 * no request is shed or preempted for one of a lower tier, a start out of order
 * is a floor start to which the class was entitled, no class starves, no
 * request is lost or ends twice, and a declined request is sent a retry time
 * at once.
 */
Test(sidecarload, scheduling_invariants_hold)
{
  size_t floorStarts = 0;
  size_t shed = 0;
  const bool holds = rc::check([&] {
    const auto percent = [](int aMax) {
      return *rc::gen::inRange(0, aMax + 1) / 100.0;
    };
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(1, 60)),
        .mNeverStartProbability = percent(20),
        .mWithdrawProbability = percent(30),
        .mIdempotentProbability = percent(100),
        .mSlowdownProbability = percent(50) });
    load.Play(Millis(15000));
    floorStarts += load.mFloorStarts;
    shed += load.mShed;
  });
  cr_assert(holds);
  cr_assert_gt(floorStarts, 0);
  cr_assert_gt(shed, 0);
}

/**
 * At least 90 % of the callers that retry at the stated time, without other
 * load, are served. The retry time is estimated from request lengths, which are
 * random here, so it can't be exact.
 */
Test(sidecarload, retry_at_the_stated_time_is_served)
{
  int returned = 0;
  int served = 0;
  const bool holds = rc::check([&] {
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(20, 80)),
        .mMinDeadline = 5000 });
    const auto outcome = load.PlayRetry(Millis(15000));
    returned += outcome ? 1 : 0;
    served += outcome.value_or(false) ? 1 : 0;
  });
  cr_assert(holds);
  cr_assert_gt(returned, 20);
  cr_assert_geq(served * 10, returned * 9, "%d of %d", served, returned);
}
