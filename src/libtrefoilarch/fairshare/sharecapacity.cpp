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

/** Limits for the growth of the backlog relative to the admitted rate, because
 * the time that it needs isn't known well. */
constexpr double kMinGrowth = 0.75;
constexpr double kMaxGrowth = 1.35;

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
  mCapacity = mLearnt * mCorrection;
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
  mLaggedPressure = 0;
  mLearnt = aServed;
  mBusyMs = 0;
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

double
ShareCapacity::DoneRate(double aServed) const
{
  const double growth = (mPressure - mLaggedPressure) *
                        AsDouble(mOptions.mBacklogAtFullPressure) /
                        AsDouble(mOptions.mServedLag);
  return aServed / std::clamp(1 + growth, kMinGrowth, kMaxGrowth);
}

void
ShareCapacity::Learn(double aServed, double aElapsedMs)
{
  mLaggedPressure +=
    (mPressure - mLaggedPressure) *
    (1 - std::exp(-aElapsedMs / AsDouble(mOptions.mServedLag)));
  if (mUpdatedAt - mStartedAt < kStartTime) {
    // The sums behind aServed are still filling.
    mLearnt = std::max(mLearnt, aServed);
    return;
  }
  const bool busy = mPressure >= mOptions.mBusyPressure;
  mBusyMs = busy ? mBusyMs + aElapsedMs : 0;
  const double rate = busy ? DoneRate(aServed) : aServed;
  const Millis learning = mUpdatedAt - mStartedAt - kStartTime;
  double time =
    std::clamp(AsDouble(learning), 1.0, AsDouble(mOptions.mLearnTime));
  if (busy) {
    // What was learnt before is worth little once the engines are busy.
    time = std::min(time, std::max(mBusyMs, AsDouble(mOptions.mServedLag)));
  } else if (rate < mLearnt) {
    time = AsDouble(mOptions.mForgetTime);
  }
  mLearnt += (rate - mLearnt) * (1 - std::exp(-aElapsedMs / time));
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
    mOptions.mDecrease * std::max(mPressure - mOptions.mDecreasePressure, 0.0);
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
