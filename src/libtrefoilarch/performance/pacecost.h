#pragma once

#include "paceforecast.h"

#include <optional>

namespace trefoilarch {

/** Bounds of a route for one request, in milliseconds from now; empty if there
 * is none. One in the past counts as broken. */
struct PaceBounds
{
  std::optional<double> mFirstTokenMs;
  std::optional<double> mPauseMs;
  std::optional<double> mEndMs;

  bool operator==(const PaceBounds&) const = default;
};

/** Costs of broken bounds, in milliseconds. */
struct PaceCostOptions
{
  /** Costs begin at this share of a bound, as forecasts are uncertain; at most
   * 0.75, so that costs beyond the bound rise more steeply. */
  double mHeadroomShare = 0.7;
  /** What a forecast of twice the bound costs beyond one at the bound. One at
   * the bound costs a quarter of it, and none costs more than 2.25 times it. */
  double mFirstTokenMs = 400;
  double mPauseMs = 400;
  double mEndMs = 400;
};

/**
 * What breaking the bounds costs in the placement: 0 when all are kept with
 * headroom, rising smoothly from there and steeply beyond each bound. A longer
 * forecast always costs more, but no more than a fixed maximum: if every
 * candidate breaks a bound, the one that breaks it least is the cheapest.
 */
double
PaceCostMs(const PaceForecast& aForecast,
           const PaceBounds& aBounds,
           const PaceCostOptions& aOptions);

} // namespace trefoilarch
