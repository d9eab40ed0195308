#include "speedestimate.h"

#include "factorbounds.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** An entry's estimate weighs at most this, as only its last samples count, and
 * so that a sender which overstates its samples doesn't outweigh the others. */
constexpr double kMaxSamples = 32;

/** Weight of a sample at an unknown contention, and the power of the certainty
 * that weighs the others. Both favour samples at a known contention, since an
 * unknown one misleads all entries alike: more of such samples don't help. */
constexpr double kMinSampleWeight = 0.05;
constexpr double kCertaintyPower = 4;

/** Weight of the prior in samples. */
constexpr double kPriorSamples = 4;

/** Time constants by which samples lose weight. Those of other entries lose it
 * sooner: one that no longer uses the upstream must not hide that it has become
 * slow. */
constexpr double kOwnWeightMs = 20000;
constexpr double kHeardWeightMs = 10000;

/** Maximum multiple of the usual ratio that a sample counts: an engine that
 * stalled once says little about its speed. */
constexpr double kMaxDeviationFactor = 3;

/** Avoids the logarithm of 0 when events arrive together. */
constexpr double kMinRatio = 0.01;

/** Receivers hear of at most 40 others; the rest is for restarted ones. */
constexpr size_t kMaxSenders = 64;

double
DecayOver(Millis aAge, double aTimeConstantMs)
{
  const auto age = static_cast<double>(std::max(aAge, Millis(0)).Count());
  return std::exp(-age / aTimeConstantMs);
}

} // namespace

void
SpeedEstimate::AddOwn(double aRatio,
                      double aUsual,
                      double aCertainty,
                      Millis aNow)
{
  // The mean of ratios, not of their logarithms: pauses beside prompts are
  // either short or long, and the logarithm would make a loaded upstream look
  // fast. The limit takes care of the skew.
  const double ratio = std::min(aRatio, aUsual * kMaxDeviationFactor);
  const double weight =
    std::max(std::pow(aCertainty, kCertaintyPower), kMinSampleWeight);
  const double earlier = OwnSamples(aNow);
  mOwnSamples = std::min(earlier + weight, kMaxSamples);
  mOwnRatio += weight / mOwnSamples * (ratio - mOwnRatio);
  mOwnAt = aNow;
}

void
SpeedEstimate::AddHeard(uint64_t aSender,
                        double aFactor,
                        uint32_t aSamples,
                        Millis aNow)
{
  std::erase_if(mHeard, [&](const SenderEstimate& aEach) {
    return aEach.mSender == aSender || aNow - aEach.mAt > kHeardLifetime;
  });
  if (mHeard.size() >= kMaxSenders) {
    mHeard.erase(std::min_element(
      mHeard.begin(),
      mHeard.end(),
      [](const SenderEstimate& aLeft, const SenderEstimate& aRight) {
        return aLeft.mAt < aRight.mAt;
      }));
  }
  mHeard.push_back({ .mSender = aSender,
                     .mLog = std::log(BoundedFactor(aFactor)),
                     .mSamples = aSamples,
                     .mAt = aNow });
}

double
SpeedEstimate::OwnSamples(Millis aNow) const
{
  return mOwnSamples * DecayOver(aNow - mOwnAt, kOwnWeightMs);
}

double
SpeedEstimate::OwnLog() const
{
  return std::log(std::max(mOwnRatio, kMinRatio));
}

WeightedLog
SpeedEstimate::Own(Millis aNow) const
{
  return { .mLog = OwnLog(), .mWeight = OwnSamples(aNow) };
}

WeightedLog
SpeedEstimate::Heard(Millis aNow) const
{
  std::vector<WeightedLog> values;
  AppendHeard(values, 0, aNow);
  return WithPrior(values);
}

WeightedLog
SpeedEstimate::Combined(double aOwnScale, double aHeardScale, Millis aNow) const
{
  std::vector<WeightedLog> values;
  AppendHeard(values, aHeardScale, aNow);
  if (HasOwn()) {
    WeightedLog own = Own(aNow);
    own.mLog -= aOwnScale;
    values.push_back(own);
  }
  return WithPrior(values);
}

void
SpeedEstimate::AppendHeard(std::vector<WeightedLog>& aValues,
                           double aScale,
                           Millis aNow) const
{
  aValues.reserve(mHeard.size() + 1);
  for (const SenderEstimate& each : mHeard) {
    const Millis age = aNow - each.mAt;
    if (age <= kHeardLifetime) {
      aValues.push_back(
        { .mLog = each.mLog - aScale,
          .mWeight = std::min<double>(each.mSamples, kMaxSamples) *
                     DecayOver(age, kHeardWeightMs) });
    }
  }
}

WeightedLog
SpeedEstimate::WithPrior(std::vector<WeightedLog>& aValues) const
{
  const WeightedLog mean = RobustMean(aValues);
  const double sum = mean.mLog * mean.mWeight + mPriorLog * kPriorSamples;
  return { .mLog = sum / (mean.mWeight + kPriorSamples),
           .mWeight = mean.mWeight };
}

} // namespace trefoilarch
