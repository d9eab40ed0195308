#include "pacecost.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr double kMaxHeadroomShare = 0.75;

/** Cost at the bound relative to the weight. */
constexpr double kCostAtBound = 0.25;

/** Cost of an endless forecast beyond one at the bound, relative to the weight:
 * half of it is reached at twice the bound. */
constexpr double kMaxCostBeyond = 2;

/** Replaces bounds in the past, which have no finite ratio. */
constexpr double kMinBoundMs = 1;

/** Replaces forecasts that are longer or not a number. */
constexpr double kMaxForecastMs = 1e7;

double
BoundCost(double aForecastMs,
          const std::optional<double>& aBoundMs,
          double aHeadroomShare)
{
  if (!aBoundMs) {
    return 0;
  }
  const double forecast =
    aForecastMs < kMaxForecastMs ? aForecastMs : kMaxForecastMs;
  const double bound = *aBoundMs > kMinBoundMs ? *aBoundMs : kMinBoundMs;
  const double ratio = forecast / bound;
  if (ratio > 1) {
    return kCostAtBound + kMaxCostBeyond * (1 - 1 / ratio);
  }
  const double used =
    std::max(ratio - aHeadroomShare, 0.0) / (1 - aHeadroomShare);
  return kCostAtBound * used * used;
}

} // namespace

double
PaceCostMs(const PaceForecast& aForecast,
           const PaceBounds& aBounds,
           const PaceCostOptions& aOptions)
{
  const double share =
    std::clamp(aOptions.mHeadroomShare, 0.0, kMaxHeadroomShare);
  const double firstToken =
    BoundCost(aForecast.mFirstTokenMs, aBounds.mFirstTokenMs, share);
  const double pause =
    BoundCost(aForecast.mLongestPauseMs, aBounds.mPauseMs, share);
  const double end = BoundCost(aForecast.mEndMs, aBounds.mEndMs, share);
  return aOptions.mFirstTokenMs * firstToken + aOptions.mPauseMs * pause +
         aOptions.mEndMs * end;
}

} // namespace trefoilarch
