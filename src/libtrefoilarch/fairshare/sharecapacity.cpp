#include "sharecapacity.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Pressures above this make no difference. */
constexpr double kMaxPressure = 2;

/** An entry that has just started knows too little to judge shares. */
constexpr Millis kStartTime{ 1000 };

/** Without requests for this long, the pressure is unknown. */
constexpr Millis kPressureLifetime{ 3000 };

constexpr double kMillisPerSecond = 1000;

double
AsDouble(Millis aTime)
{
  return static_cast<double>(aTime.Count());
}

} // namespace

ShareCapacity::ShareCapacity(ShareCapacityOptions aOptions)
  : mOptions(aOptions)
{
}

void
ShareCapacity::OnPressure(double aPressure)
{
  const double pressure = std::isfinite(aPressure) ? aPressure : 0;
  mPressureSum += std::clamp(pressure, 0.0, kMaxPressure);
  mPressureSamples++;
}

void
ShareCapacity::Update(double aServed, double aDemand, Millis aNow)
{
  if (!mStarted || aNow - mUpdatedAt > kPressureLifetime) {
    Start(aServed, aNow);
    return;
  }
  const double elapsed = std::max(AsDouble(aNow - mUpdatedAt), 0.0);
  mUpdatedAt = std::max(mUpdatedAt, aNow);
  SmoothPressure(elapsed);
  Learn(aServed, elapsed);
  Correct(elapsed);
  const double backlogChange = AsDouble(mOptions.mBacklogAtFullPressure) /
                               AsDouble(mOptions.mLearnTime) *
                               (mPressure - mMeanPressure);
  mCapacity = mMeanServed * mCorrection / std::max(1 + backlogChange, 0.5);
  UpdateLimited(aDemand, aNow);
}

void
ShareCapacity::Start(double aServed, Millis aNow)
{
  mStarted = true;
  mStartedAt = aNow;
  mUpdatedAt = aNow;
  mContendedAt = aNow;
  mPressure = 0;
  mMeanPressure = 0;
  mMeanServed = aServed;
  mCorrection = 1;
  mCapacity = aServed;
  mLimited = false;
}

double
ShareCapacity::Factor() const
{
  const double deviation = mOptions.mTargetPressure - mPressure;
  return std::clamp(
    1 + mOptions.mGain * deviation, mOptions.mMinFactor, mOptions.mMaxFactor);
}

void
ShareCapacity::SmoothPressure(double aElapsedMs)
{
  if (mPressureSamples == 0) {
    return;
  }
  const double mean = mPressureSum / static_cast<double>(mPressureSamples);
  const double kept =
    std::exp(-aElapsedMs / AsDouble(mOptions.mPressureDecayTime));
  mPressure = mean + (mPressure - mean) * kept;
  mPressureSum = 0;
  mPressureSamples = 0;
}

void
ShareCapacity::Learn(double aServed, double aElapsedMs)
{
  // The sums behind aServed are still filling at the start. After it, the mean
  // is over the time since then, until the learn time has passed once.
  const Millis learnt = mUpdatedAt - mStartedAt - kStartTime;
  const double learnTime =
    std::clamp(AsDouble(learnt), 1.0, AsDouble(mOptions.mLearnTime));
  const double kept = std::exp(-aElapsedMs / learnTime);
  mMeanServed = aServed + (mMeanServed - aServed) * kept;
  mMeanPressure = mPressure + (mMeanPressure - mPressure) * kept;
}

void
ShareCapacity::Correct(double aElapsedMs)
{
  const double kept = std::exp(-aElapsedMs / AsDouble(mOptions.mLearnTime));
  mCorrection = std::pow(mCorrection, kept);
  if (!mLimited) {
    return;
  }
  const double target = mOptions.mTargetPressure;
  const double increase =
    mOptions.mIncrease * std::max(1 - 2 * mPressure / target, 0.0);
  const double decrease =
    mOptions.mDecrease * std::max(mPressure - target, 0.0);
  mCorrection *=
    std::exp((increase - decrease) * aElapsedMs / kMillisPerSecond);
  mCorrection =
    std::clamp(mCorrection, mOptions.mMinCorrection, mOptions.mMaxCorrection);
}

void
ShareCapacity::UpdateLimited(double aDemand, Millis aNow)
{
  const bool pressed = mPressure >= mOptions.mEndPressure;
  if (pressed || aDemand > mCapacity) {
    mContendedAt = aNow;
  }
  if (mPressure >= mOptions.mOnsetPressure && aNow - mStartedAt >= kStartTime) {
    mLimited = true;
  } else if (aNow - mContendedAt >= mOptions.mEndAfter) {
    mLimited = false;
  }
}

} // namespace trefoilarch
