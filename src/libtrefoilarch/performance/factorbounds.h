#pragma once

#include <algorithm>
#include <cmath>

namespace trefoilarch {

/** Bounds of the factors by which an upstream's speed and contention change the
 * time of work. */
constexpr double kMinWorkFactor = 0.2;
constexpr double kMaxWorkFactor = 8;

/** Factors outside of these bounds are faults of the sender and are ignored;
 * load reports state contention from 0.01 to 1000. */
constexpr double kMinBelievedFactor = 0.01;
constexpr double kMaxBelievedFactor = 1000;

/** False also for a value that is not a number. */
inline bool
IsBelieved(double aFactor)
{
  return aFactor >= kMinBelievedFactor && aFactor <= kMaxBelievedFactor;
}

inline double
BoundedFactor(double aFactor)
{
  return std::clamp(aFactor, kMinWorkFactor, kMaxWorkFactor);
}

/** The bounded factor of a logarithm. */
inline double
FactorOfLog(double aLog)
{
  return BoundedFactor(std::exp(aLog));
}

} // namespace trefoilarch
