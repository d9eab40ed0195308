#include "adaptivelimit.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr Millis kWindow{ 200 };
/** Minimum number of measurements in a window. */
constexpr double kMinWeight = 4;
/**
 * The limit rises only while times are below this multiple of the allowed time.
 */
constexpr double kIncreaseThreshold = 0.9;
/** Below this multiple it rises by a fraction of its own value. */
constexpr double kFastIncreaseThreshold = 0.6;
constexpr uint64_t kFastStepDivisor = 8;
/** Otherwise it rises by this fraction of its initial value. */
constexpr uint64_t kStepDivisor = 24;
/** Lower bound of the factor applied by one window. */
constexpr double kMinDecreaseFactor = 0.8;
/**
 * If the best time exceeds the allowed one, times up to this multiple of the
 * best are tolerated.
 */
constexpr double kBestTolerance = 1.25;
/** Growth of the best ratio per window; it doubles in two to three minutes. */
constexpr double kBestGrowth = 1.001;
/**
 * A further decrease waits until the use is within this multiple of the limit.
 */
constexpr double kUseTolerance = 1.05;

} // namespace

AdaptiveLimit::AdaptiveLimit(AdaptiveLimitOptions aOptions)
  : mOptions(aOptions)
  , mValue(aOptions.mInitial)
{
}

void
AdaptiveLimit::OnMeasured(size_t aCause, double aRatio, double aWeight)
{
  mRatioSum[aCause] += aRatio * aWeight;
  mWeightSum[aCause] += aWeight;
}

void
AdaptiveLimit::Adapt(uint64_t aUsed, Millis aNow)
{
  double weight = 0;
  double ratio = 0;
  for (size_t cause = 0; cause < kCauses; ++cause) {
    weight += mWeightSum[cause];
    if (mWeightSum[cause] > 0) {
      ratio = std::max(ratio, mRatioSum[cause] / mWeightSum[cause]);
    }
  }
  if (aNow < mWindowStart + kWindow || weight < kMinWeight) {
    return;
  }
  ratio = NormalizeRatio(ratio);
  if (ratio > 1) {
    Decrease(ratio, aUsed);
  } else if (ratio < kIncreaseThreshold && mLimited) {
    Increase(ratio);
  }
  mWindowStart = aNow;
  mRatioSum.fill(0);
  mWeightSum.fill(0);
  mLimited = false;
}

double
AdaptiveLimit::NormalizeRatio(double aRatio)
{
  mBestRatio =
    mBestRatio > 0 ? std::min(mBestRatio * kBestGrowth, aRatio) : aRatio;
  return aRatio / std::max(1.0, mBestRatio * kBestTolerance);
}

void
AdaptiveLimit::Decrease(double aRatio, uint64_t aUsed)
{
  const auto value = static_cast<double>(mValue);
  const auto used = static_cast<double>(aUsed);
  if (used > value * kUseTolerance) {
    return;
  }
  const double next =
    std::min(value, used) * std::max(kMinDecreaseFactor, 1 / aRatio);
  mValue = std::max(static_cast<uint64_t>(next), mOptions.mMin);
}

void
AdaptiveLimit::Increase(double aRatio)
{
  const uint64_t step = aRatio < kFastIncreaseThreshold
                          ? mValue / kFastStepDivisor
                          : mOptions.mInitial / kStepDivisor;
  mValue = std::min(mValue + std::max<uint64_t>(step, 1), mOptions.mMax);
}

} // namespace trefoilarch
