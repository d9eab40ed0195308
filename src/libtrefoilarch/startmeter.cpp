#include "startmeter.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Starts within this span make the rate. */
constexpr Millis kRateSpan{ 2000 };

/** Weight of the newest start's wait. */
constexpr double kNewest = 0.2;

/** The memory of waits fades by this time constant while nothing starts. */
constexpr double kWaitMemoryMs = 3000;

/** Those that wait are, on average, half way through their waits. */
constexpr double kAgeToWait = 2;

constexpr Millis kLeastReturn{ 200 };
constexpr Millis kLongestReturn{ 1500 };
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
  mSentSum += aNow.Count();
}

void
StartMeter::OnStarted(Millis aSentAt, Millis aNow)
{
  Leave(aSentAt);
  mRunning++;
  mStarts.push_back(aNow);
  mWait += kNewest * (static_cast<double>((aNow - aSentAt).Count()) - mWait);
  mWaitAt = aNow;
}

void
StartMeter::OnAbandoned(Millis aSentAt)
{
  Leave(aSentAt);
}

void
StartMeter::OnEnded(Millis aStartedAt, Millis aNow)
{
  mRunning -= std::min(mRunning, 1U);
  mAnswer.Add(static_cast<double>((aNow - aStartedAt).Count()));
}

std::optional<Millis>
StartMeter::Refuse(Millis aTarget, Millis aLimit, double aFavour, Millis aNow)
{
  if (mPending < mOptions.mAlwaysAllowedPending) {
    return std::nullopt;
  }
  if (!StartsTooLate(aTarget, aFavour, aNow) &&
      !EndsTooLate(aLimit, aFavour, aNow)) {
    return std::nullopt;
  }
  return std::clamp(ExpectedWait(aNow) / 2, kLeastReturn, kLongestReturn);
}

bool
StartMeter::StartsTooLate(Millis aTarget, double aFavour, Millis aNow)
{
  const Millis judged = std::max(aTarget, mOptions.mMinTarget);
  const double target = static_cast<double>(judged.Count()) * aFavour;
  return RecentWait(aNow) >= mOptions.mSlowShare * target &&
         static_cast<double>(ExpectedWait(aNow).Count()) >
           mOptions.mMaxWaitShare * target;
}

bool
StartMeter::EndsTooLate(Millis aLimit, double aFavour, Millis aNow)
{
  const double limit = static_cast<double>(aLimit.Count()) * aFavour;
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
  while (!mStarts.empty() && aNow - mStarts.front() > kRateSpan) {
    mStarts.pop_front();
  }
  const double starts =
    std::max<double>(1, static_cast<double>(mStarts.size()));
  return starts * kMillisPerSecond / static_cast<double>(kRateSpan.Count());
}

double
StartMeter::RecentWait(Millis aNow) const
{
  const double age = mPending == 0 ? 0
                                   : static_cast<double>(aNow.Count()) -
                                       static_cast<double>(mSentSum) / mPending;
  const double idle = static_cast<double>((aNow - mWaitAt).Count());
  return std::max(mWait * std::exp(-idle / kWaitMemoryMs), kAgeToWait * age);
}

void
StartMeter::Leave(Millis aSentAt)
{
  if (mPending == 0) {
    return;
  }
  mPending--;
  mSentSum -= aSentAt.Count();
}

} // namespace trefoilarch
