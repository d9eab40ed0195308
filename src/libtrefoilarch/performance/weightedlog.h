#pragma once

#include <vector>

namespace trefoilarch {

/** The logarithm of a factor, and its weight in samples. */
struct WeightedLog
{
  double mLog = 0;
  double mWeight = 0;

  bool operator==(const WeightedLog&) const = default;
};

/** The mean of the middle values, or of the two middle ones; 0 if empty.
 * Reorders the values. */
double
Median(std::vector<double>& aValues);

/** The value at half of the sum of weights; 0 if empty. Reorders the values. */
double
WeightedMedian(std::vector<WeightedLog>& aValues);

/** The weighted mean, in which values far from the weighted median are limited,
 * so that a minority of wrong values has little effect. Its weight is the sum
 * of weights. Reorders the values. */
WeightedLog
RobustMean(std::vector<WeightedLog>& aValues);

} // namespace trefoilarch
