#include "randomload.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>

using namespace trefoilarch;
using namespace replay;

/**
 * Over random arrivals, lengths, engine speeds, withdrawals and grants that
 * nobody starts: no request of a higher tier is shed or preempted for a lower
 * one, a start out of order is a floor start that was owed, no class starves,
 * none is lost or answered twice, and a request that was given up is told at
 * once when to come back.
 */
Test(sidecarload, keeps_its_promises)
{
  size_t floorStarts = 0;
  size_t shed = 0;
  const bool holds = rc::check([&] {
    const auto percent = [](int aMost) {
      return *rc::gen::inRange(0, aMost + 1) / 100.0;
    };
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(1, 60)),
        .mNeverStarts = percent(20),
        .mWithdraws = percent(30),
        .mIdempotent = percent(100),
        .mSlowdowns = percent(50) });
    load.Play(Millis(15000));
    floorStarts += load.mFloorStarts;
    shed += load.mShed;
  });
  cr_assert(holds);
  cr_assert_gt(floorStarts, 0);
  cr_assert_gt(shed, 0);
}

/**
 * A time to come back is honest: of those who keep to it, while nobody else
 * comes, nearly all are served. The estimate can't be better than the lengths
 * that it is made from, which are random here.
 */
Test(sidecarload, who_comes_back_when_told_is_served)
{
  int returned = 0;
  int served = 0;
  const bool holds = rc::check([&] {
    RandomLoad load(
      *rc::gen::arbitrary<uint64_t>(),
      { .mArrivalsPerSecond = static_cast<double>(*rc::gen::inRange(20, 80)),
        .mLeastDeadline = 5000 });
    const auto outcome = load.PlayReturn(Millis(15000));
    returned += outcome ? 1 : 0;
    served += outcome.value_or(false) ? 1 : 0;
  });
  cr_assert(holds);
  cr_assert_gt(returned, 20);
  cr_assert_geq(served * 10, returned * 9, "%d of %d", served, returned);
}
