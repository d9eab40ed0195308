#include "ratiospread.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Each bucket's bound is a tenth above the previous one. Ratios outside of the
 * bounds count at the bounds. */
constexpr int kBuckets = 56;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 20;

/** Ratios and weights that are assumed without samples: a pause that a prompt
 * prolongs takes two to three times the mean. */
constexpr std::pair<double, double> kPrior[] = {
  { 0.7, 8 },
  { 1, 16 },
  { 1.5, 6 },
  { 2.5, 2 },
};

} // namespace

RatioSpread::RatioSpread()
  : mRatios(std::make_tuple(Axis(kBuckets, kMinRatio, kMaxRatio)))
{
  for (const auto& [ratio, weight] : kPrior) {
    mRatios(ratio, boost::histogram::weight(weight));
    mSum += weight;
  }
}

void
RatioSpread::Add(double aRatio)
{
  mRatios(std::max(aRatio, kMinRatio));
  mSum += 1;
}

void
RatioSpread::Decay(double aPart)
{
  mRatios *= aPart;
  mSum *= aPart;
}

double
RatioSpread::Quantile(double aProbability) const
{
  const Axis& axis = mRatios.axis();
  double above = mSum * (1 - aProbability);
  // From the highest bucket: the quantiles in demand are high ones.
  above -= mRatios.at(kBuckets);
  for (int bucket = kBuckets - 1; bucket >= 0; --bucket) {
    const double weight = mRatios.at(bucket);
    if (above < weight) {
      const double part = std::clamp(above / weight, 0.0, 1.0);
      return axis.value(bucket + 1 - part);
    }
    above -= weight;
  }
  return kMinRatio;
}

} // namespace trefoilarch
