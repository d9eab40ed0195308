#pragma once

#include "../millis.h"

#include <random>

namespace trefoilarch {

struct ReturnSpreadOptions
{
  /** The interval for a workspace that is hardly over its share. */
  Millis mMinInterval{ 200 };
  /**
   * What the interval grows by with each multiple of the share that the demand
   * exceeds it by. As long as the time constant of the demand, so that a burst
   * returns at the rate of the share.
   */
  Millis mIntervalPerExcess{ 1000 };
  /** Limits the interval for absurd demands. */
  Millis mMaxInterval{ 15000 };
};

/**
 * Spreads the return times of refused requests evenly over an interval that
 * grows with the excess of their workspace, so that they don't return at once,
 * and those of a workspace with little excess return first.
 *
 * Bound: work that was refused returns at a mean rate of at most itself divided
 * by the interval. For a burst of one mIntervalPerExcess, of which the excess
 * over the share is refused, this is less than the rate of the share, unless
 * mMaxInterval or the caller's time limit the interval.
 */
class ReturnSpread
{
public:
  explicit ReturnSpread(ReturnSpreadOptions aOptions = {});

  /** aExcess: demand divided by share, at least 1. aCallerTime: how long the
   * caller still waits; callers return within a third of it. */
  Millis Interval(double aExcess, Millis aCallerTime) const;
  /** A random time within the interval. */
  Millis Draw(double aExcess,
              Millis aCallerTime,
              std::minstd_rand& aRandom) const;

private:
  ReturnSpreadOptions mOptions;
};

} // namespace trefoilarch
