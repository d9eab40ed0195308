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
StartMeter::OnSent(Millis aNow, uint8_t aPriority)
{
  mPending.emplace(aNow, aPriority);
  mSentAtSum += aNow.Count();
}

void
StartMeter::OnStarted(Millis aSentAt, Millis aNow, uint8_t aPriority)
{
  RemovePending(aSentAt, aPriority);
  for (size_t each = 0; each <= aPriority; ++each) {
    mNewestStarted[each] = std::max(mNewestStarted[each], aSentAt);
  }
  mRunning++;
  mStarts.push_back(aNow);
  mMeanWait +=
    kNewestWeight * (static_cast<double>((aNow - aSentAt).Count()) - mMeanWait);
  mMeanWaitAt = aNow;
}

void
StartMeter::OnAbandoned(Millis aSentAt, uint8_t aPriority)
{
  RemovePending(aSentAt, aPriority);
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
  if (QueueAt(aNow).mRequests < mOptions.mAlwaysAllowedPending) {
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
  return RecentWaitMs(aNow) >= mOptions.mSlowShare * target &&
         static_cast<double>(ExpectedWait(aNow).Count()) >
           mOptions.mMaxWaitShare * target;
}

bool
StartMeter::EndsTooLate(Millis aLimit, double aWeight, Millis aNow)
{
  const double limit = static_cast<double>(aLimit.Count()) * aWeight;
  const double end = RecentWaitMs(aNow) + LongAnswerMs();
  return end > mOptions.mMaxTimeShare * limit;
}

Millis
StartMeter::ExpectedWait(Millis aNow)
{
  const double rate = Rate(aNow);
  const auto requests = static_cast<double>(QueueAt(aNow).mRequests);
  return Millis(static_cast<int64_t>(requests / rate * kMillisPerSecond));
}

StartMeter::Queue
StartMeter::QueueAt(Millis aNow) const
{
  Queue queue{ .mRequests = mPending.size(),
               .mAgeMs = static_cast<double>(aNow.Count()) *
                           static_cast<double>(mPending.size()) -
                         static_cast<double>(mSentAtSum) };
  const auto maxWait =
    Millis(static_cast<int64_t>(mOptions.mMaxWaitFactor * mMeanWait));
  const Millis oldest = aNow - std::max(maxWait, mOptions.mMinOvertakenWait);
  for (const auto& [sentAt, priority] : mPending) {
    if (sentAt >= oldest) {
      break;
    }
    if (sentAt < mNewestStarted[priority]) {
      queue.mRequests--;
      queue.mAgeMs -= static_cast<double>((aNow - sentAt).Count());
    }
  }
  return queue;
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
StartMeter::RecentWaitMs(Millis aNow) const
{
  const Queue queue = QueueAt(aNow);
  const double age = queue.mRequests == 0
                       ? 0
                       : queue.mAgeMs / static_cast<double>(queue.mRequests);
  const double idle = static_cast<double>((aNow - mMeanWaitAt).Count());
  return std::max(mMeanWait * std::exp(-idle / kWaitDecayMs),
                  kWaitPerAge * age);
}

void
StartMeter::RemovePending(Millis aSentAt, uint8_t aPriority)
{
  const auto pending = mPending.find({ aSentAt, aPriority });
  if (pending == mPending.end()) {
    return;
  }
  mPending.erase(pending);
  mSentAtSum -= aSentAt.Count();
}

} // namespace trefoilarch
