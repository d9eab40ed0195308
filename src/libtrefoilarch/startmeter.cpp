#include "startmeter.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** The rate is computed from the starts in this window. */
constexpr Millis kRateWindow{ 2000 };

/** Weight of the newest start's wait. */
constexpr double kNewestWeight = 0.2;

/** Time constant by which the mean wait decays while nothing starts. */
constexpr double kWaitDecayMs = 3000;

/** Pending requests are on average half way through their wait. */
constexpr double kWaitPerAge = 2;

constexpr Millis kMinRetryAfter{ 200 };
constexpr Millis kMaxRetryAfter{ 1500 };
constexpr double kMillisPerSecond = 1000;

} // namespace

StartMeter::StartMeter(StartMeterOptions aOptions)
  : mOptions(aOptions)
{
}

void
StartMeter::OnSent(Millis aNow)
{
  mPending++;
  mSentAtSum += aNow.Count();
}

void
StartMeter::OnStarted(Millis aSentAt, Millis aNow)
{
  RemovePending(aSentAt);
  mRunning++;
  mStarts.push_back(aNow);
  mMeanWait +=
    kNewestWeight * (static_cast<double>((aNow - aSentAt).Count()) - mMeanWait);
  mMeanWaitAt = aNow;
}

void
StartMeter::OnAbandoned(Millis aSentAt)
{
  RemovePending(aSentAt);
}

void
StartMeter::OnEnded(Millis aStartedAt, Millis aNow)
{
  mRunning -= std::min(mRunning, 1U);
  mMeanAnswer.Add(static_cast<double>((aNow - aStartedAt).Count()));
}

std::optional<Millis>
StartMeter::Refuse(Millis aTarget, Millis aLimit, double aWeight, Millis aNow)
{
  if (mPending < mOptions.mAlwaysAllowedPending) {
    return std::nullopt;
  }
  if (!StartsTooLate(aTarget, aWeight, aNow) &&
      !EndsTooLate(aLimit, aWeight, aNow)) {
    return std::nullopt;
  }
  return std::clamp(ExpectedWait(aNow) / 2, kMinRetryAfter, kMaxRetryAfter);
}

bool
StartMeter::StartsTooLate(Millis aTarget, double aWeight, Millis aNow)
{
  const Millis boundedTarget = std::max(aTarget, mOptions.mMinTarget);
  const double target = static_cast<double>(boundedTarget.Count()) * aWeight;
  return RecentWait(aNow) >= mOptions.mSlowShare * target &&
         static_cast<double>(ExpectedWait(aNow).Count()) >
           mOptions.mMaxWaitShare * target;
}

bool
StartMeter::EndsTooLate(Millis aLimit, double aWeight, Millis aNow)
{
  const double limit = static_cast<double>(aLimit.Count()) * aWeight;
  const double end = RecentWait(aNow) + mOptions.mAnswerSpread * AnswerMs();
  return end > mOptions.mMaxTimeShare * limit;
}

Millis
StartMeter::ExpectedWait(Millis aNow)
{
  const double rate = Rate(aNow);
  return Millis(static_cast<int64_t>(mPending / rate * kMillisPerSecond));
}

double
StartMeter::Rate(Millis aNow)
{
  while (!mStarts.empty() && aNow - mStarts.front() > kRateWindow) {
    mStarts.pop_front();
  }
  const double starts =
    std::max<double>(1, static_cast<double>(mStarts.size()));
  return starts * kMillisPerSecond / static_cast<double>(kRateWindow.Count());
}

double
StartMeter::RecentWait(Millis aNow) const
{
  const double age = mPending == 0
                       ? 0
                       : static_cast<double>(aNow.Count()) -
                           static_cast<double>(mSentAtSum) / mPending;
  const double idle = static_cast<double>((aNow - mMeanWaitAt).Count());
  return std::max(mMeanWait * std::exp(-idle / kWaitDecayMs),
                  kWaitPerAge * age);
}

void
StartMeter::RemovePending(Millis aSentAt)
{
  if (mPending == 0) {
    return;
  }
  mPending--;
  mSentAtSum -= aSentAt.Count();
}

} // namespace trefoilarch
