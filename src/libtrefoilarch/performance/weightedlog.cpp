#include "weightedlog.h"

#include <algorithm>
#include <cstddef>

namespace trefoilarch {

namespace {

/** Values within a factor of 1.5 of the median count in full. */
constexpr double kMaxDistance = 0.405;

/** A value weighs at most this many times the median weight: one that
 * overstates its samples must not outweigh the others. */
constexpr double kMaxWeightFactor = 3;

} // namespace

double
Median(std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  if (aValues.size() % 2 == 1) {
    return *middle;
  }
  return (*middle + *std::max_element(aValues.begin(), middle)) / 2;
}

double
WeightedMedian(std::vector<WeightedLog>& aValues)
{
  std::sort(aValues.begin(),
            aValues.end(),
            [](const WeightedLog& aLeft, const WeightedLog& aRight) {
              return aLeft.mLog < aRight.mLog;
            });
  double rest = 0;
  for (const WeightedLog& each : aValues) {
    rest += each.mWeight;
  }
  rest /= 2;
  for (const WeightedLog& each : aValues) {
    rest -= each.mWeight;
    if (rest <= 0) {
      return each.mLog;
    }
  }
  return aValues.empty() ? 0 : aValues.back().mLog;
}

namespace {

void
LimitWeights(std::vector<WeightedLog>& aValues)
{
  std::vector<double> weights;
  weights.reserve(aValues.size());
  for (const WeightedLog& each : aValues) {
    weights.push_back(each.mWeight);
  }
  const double limit = kMaxWeightFactor * Median(weights);
  for (WeightedLog& each : aValues) {
    each.mWeight = std::min(each.mWeight, limit);
  }
}

} // namespace

WeightedLog
RobustMean(std::vector<WeightedLog>& aValues)
{
  LimitWeights(aValues);
  const double median = WeightedMedian(aValues);
  WeightedLog mean;
  for (const WeightedLog& each : aValues) {
    const double limited =
      std::clamp(each.mLog, median - kMaxDistance, median + kMaxDistance);
    mean.mLog += limited * each.mWeight;
    mean.mWeight += each.mWeight;
  }
  if (mean.mWeight <= 0) {
    return {};
  }
  mean.mLog /= mean.mWeight;
  return mean;
}

} // namespace trefoilarch
