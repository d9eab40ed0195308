#include "returnspread.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Callers return after at most this part of the time they have left. */
constexpr int64_t kCallerTimeDivisor = 3;

} // namespace

ReturnSpread::ReturnSpread(ReturnSpreadOptions aOptions)
  : mOptions(aOptions)
{
}

Millis
ReturnSpread::Interval(double aExcess, Millis aCallerTime) const
{
  const auto most = static_cast<double>(mOptions.mMaxInterval.Count());
  double interval = most;
  if (std::isfinite(aExcess)) {
    interval = static_cast<double>(mOptions.mMinInterval.Count()) +
               static_cast<double>(mOptions.mIntervalPerExcess.Count()) *
                 std::max(aExcess - 1, 0.0);
  }
  const Millis spread(static_cast<int64_t>(std::min(interval, most)));
  const Millis third = aCallerTime / kCallerTimeDivisor;
  return std::max(Millis(0), std::min(spread, third));
}

Millis
ReturnSpread::Draw(double aExcess,
                   Millis aCallerTime,
                   std::minstd_rand& aRandom) const
{
  const Millis interval = Interval(aExcess, aCallerTime);
  std::uniform_int_distribution<int64_t> time(
    std::min<int64_t>(1, interval.Count()), interval.Count());
  return Millis(time(aRandom));
}

} // namespace trefoilarch
