#include "outputlengths.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr uint32_t kMaxLength = 131072;

/** Expected length without an estimate or data, as in OutputEstimator. */
constexpr double kDefaultLength = 256;

/** Weight of the estimate in answers. It fades as answers become known. */
constexpr double kEstimateWeight = 4;

/** Deviation of a length from its estimate, relative to it: estimates are
 * right in the median but often off by half. */
constexpr double kEstimateDeviation = 0.5;

/** An answer that is longer than its estimate is expected to grow by this
 * share. */
constexpr double kOverrunShare = 0.25;

/** At this many answers all weights are halved, so that old ones fade. The
 * error of a mean from so many adds little to the spread of a hundred answers.
 */
constexpr double kDecayCount = 1024;

/** Further routes use the estimate alone. */
constexpr size_t kMaxRoutes = 1000;

} // namespace

size_t
OutputLengths::BinOf(uint32_t aTokens)
{
  const double doublings = std::log2(std::max<uint32_t>(aTokens, 1));
  return std::min(static_cast<size_t>(doublings * kBinsPerDoubling),
                  kBinCount - 1);
}

void
OutputLengths::OnWhole(const std::string& aRoute, uint32_t aTokens)
{
  const bool known = mRoutes.contains(aRoute);
  if (aTokens == 0 || (!known && mRoutes.size() >= kMaxRoutes)) {
    return;
  }
  Route& route = mRoutes[aRoute];
  if (route.front().mCount >= kDecayCount) {
    for (Moments& each : route) {
      each.mCount /= 2;
      each.mSum /= 2;
      each.mSquares /= 2;
    }
  }
  const double length = std::min(aTokens, kMaxLength);
  for (size_t bin = 0; bin <= BinOf(aTokens); ++bin) {
    route[bin].mCount += 1;
    route[bin].mSum += length;
    route[bin].mSquares += length * length;
  }
}

OutputLengths::Moments
OutputLengths::Longer(const std::string& aRoute, uint32_t aTokens) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    return {};
  }
  const size_t bin = BinOf(aTokens + 1);
  const Moments& longer = found->second[bin];
  const Moments next = bin + 1 < kBinCount ? found->second[bin + 1] : Moments{};
  // A bin counts as a whole, as longer if its mean is.
  const double sum = longer.mSum - next.mSum;
  const double count = longer.mCount - next.mCount;
  return sum > count * aTokens ? longer : next;
}

RemainingOutput
OutputLengths::Remaining(const std::string& aRoute,
                         uint32_t aExpected,
                         uint32_t aSoFar) const
{
  const Moments longer = Longer(aRoute, std::min(aSoFar, kMaxLength));
  const double soFar = std::min(aSoFar, kMaxLength);
  const double expected =
    aExpected == 0 ? kDefaultLength : std::min(aExpected, kMaxLength);
  const double estimate = std::max(expected, soFar * (1 + kOverrunShare));
  const double deviation = expected > soFar
                             ? kEstimateDeviation * (expected - soFar)
                             : estimate - soFar;
  const double weight =
    kEstimateWeight * kEstimateWeight / (kEstimateWeight + longer.mCount);
  const double count = longer.mCount + weight;
  const double mean = (longer.mSum + weight * estimate) / count;
  const double squares =
    (longer.mSquares + weight * (estimate * estimate + deviation * deviation)) /
    count;
  const double variance = std::max(0.0, squares - mean * mean);
  return { .mMean = std::max(0.0, mean - soFar),
           .mVariance = variance,
           .mError = std::sqrt(variance / count) };
}

} // namespace trefoilarch
