#include "usagereporter.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** All windows are one subject. */
constexpr const char* kSubject = "";

/** Wait after a window's end for the counts that are on their way. */
constexpr Millis kMinWait{ 200 };

/** The share of the allowed lateness for which missing entries are waited for.
 * The rest is for a successor to take over and send. */
constexpr int64_t kMaxWaitPercent = 60;
constexpr int64_t kHundred = 100;

/** Time that a report needs at least to be fixed and sent. */
constexpr Millis kSendTime{ 500 };

/** How much the agreed time may change per interval. */
constexpr Millis kMaxSlew{ 1 };
constexpr Millis kSlewInterval{ 1000 };

/** Fewer clocks have no useful median. */
constexpr size_t kMinClocks = 3;

/** A stored time further from the host's clock is not believed. */
constexpr Millis kMaxClockError{ 3600000 };

} // namespace

UsageReporter::UsageReporter(UsageReporterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mDuty([this] {
    DutyOptions options = mOptions.mDuty;
    options.mFirstRecord = [this](const StoreClockReading& aClock) {
      return FirstRecord(aClock);
    };
    options.mIsPlausible = [this](const DutyRecord& aRecord) {
      return IsPlausible(aRecord);
    };
    options.mLastBefore = [this](const DutyRecord& aRecord,
                                 const StoreClockReading& aClock,
                                 Millis aAt) {
      return LastBefore(aRecord, aClock, aAt);
    };
    return options;
  }())
  , mCollector({ .mWindows = mOptions.mWindows })
{
}

UsageActions
UsageReporter::OnTick(Millis aWallTime, Millis aNow)
{
  mNow = aNow;
  mWallOffset = aWallTime - aNow;
  UsageActions actions{ .mDuty = mDuty.OnTick(aNow) };
  if (!mDuty.IsHeld(aNow)) {
    return actions;
  }
  AdjustClock(aNow);
  const Millis unixTime = UnixTime(aNow);
  SkipLateWindows(actions, unixTime);
  const uint64_t window =
    std::max(mDuty.LastFixed(kSubject), mSkippedThrough) + 1;
  if (!MayFix(window, unixTime, aNow)) {
    return actions;
  }
  const Millis end = mOptions.mWindows.EndOf(window);
  DutyReport report{ .mSubject = kSubject,
                     .mPeriod = window,
                     .mBody =
                       mOptions.mFormat(window, mCollector.CountsOf(window)),
                     .mExpiresAt =
                       aNow + (end + mOptions.mMaxLateness - unixTime) };
  const DutyActions proposed = mDuty.Propose(std::move(report), aNow);
  actions.mDuty.insert(actions.mDuty.end(), proposed.begin(), proposed.end());
  return actions;
}

void
UsageReporter::OnReply(const UsageReply& aReply, Millis aNow)
{
  mDuty.OnHolderHeard(aReply.mFencingToken, aNow);
  // A window that has not ended can't be fixed.
  const Millis limit = aNow + mWallOffset + kMaxClockError;
  if (aReply.mFixedWindow < mOptions.mWindows.At(limit)) {
    mDuty.OnFixedHeard(kSubject, aReply.mFixedWindow);
  }
}

std::optional<UsageReply>
UsageReporter::OnUpdate(const UsageUpdate& aUpdate, Millis aNow)
{
  mCollector.OnUpdate(aUpdate, UnixTime(aNow), aNow);
  if (!mDuty.IsHeld(aNow)) {
    return std::nullopt;
  }
  return UsageReply{ .mFencingToken = mDuty.Record().mFencingToken,
                     .mUnixTime = UnixTime(aNow),
                     .mFixedWindow = mDuty.LastFixed(kSubject) };
}

Millis
UsageReporter::UnixTime(Millis aNow) const
{
  const auto& clock = mDuty.ClockReading();
  if (!clock || mDuty.Record().mFencingToken == 0) {
    return aNow + mWallOffset;
  }
  return StoreTime(*clock, aNow) + mDuty.Record().mUnixOffset;
}

void
UsageReporter::AdjustClock(Millis aNow)
{
  const auto median = mCollector.MedianWallOffset(kMinClocks, aNow);
  if (!median || aNow - mAdjustedAt < kSlewInterval) {
    return;
  }
  mAdjustedAt = aNow;
  Millis step = aNow + *median - UnixTime(aNow);
  // No report depends on the time yet.
  const bool mayStep = mFirstFixed == mDuty.LastFixed(kSubject);
  if (!mayStep) {
    step = std::clamp(step, Millis(0) - kMaxSlew, kMaxSlew);
  }
  mDuty.SetUnixOffset(mDuty.Record().mUnixOffset + step);
}

void
UsageReporter::SkipLateWindows(UsageActions& aActions, Millis aUnixTime)
{
  const uint64_t next =
    std::max(mDuty.LastFixed(kSubject), mSkippedThrough) + 1;
  const Millis oldestEnd = aUnixTime - mOptions.mMaxLateness + kSendTime;
  const uint64_t firstInTime = mOptions.mWindows.At(oldestEnd);
  if (firstInTime <= next) {
    return;
  }
  aActions.mMissed =
    MissedWindows{ .mFirst = next, .mCount = firstInTime - next };
  mMissed += firstInTime - next;
  mSkippedThrough = firstInTime - 1;
}

bool
UsageReporter::MayFix(uint64_t aWindow, Millis aUnixTime, Millis aNow) const
{
  const Millis end = mOptions.mWindows.EndOf(aWindow);
  if (aUnixTime < end + kMinWait ||
      !mDuty.MayPropose(kSubject, aWindow, aNow)) {
    return false;
  }
  return mCollector.IsComplete(aWindow, aNow) ||
         aUnixTime >= end + mOptions.mMaxLateness * kMaxWaitPercent / kHundred;
}

DutyRecord
UsageReporter::FirstRecord(const StoreClockReading& aClock)
{
  const Millis offset =
    mCollector.MedianWallOffset(kMinClocks, mNow).value_or(mWallOffset);
  const Millis unixTime = mNow + offset;
  // An earlier window may have been reported under a record that is lost.
  mFirstFixed = mOptions.mWindows.At(unixTime);
  DutyRecord record;
  record.mFixed[kSubject] = *mFirstFixed;
  record.mUnixOffset = unixTime - StoreTime(aClock, mNow);
  return record;
}

bool
UsageReporter::IsPlausible(const DutyRecord& aRecord) const
{
  const Millis limit = mNow + mWallOffset + kMaxClockError;
  const auto fixed = aRecord.mFixed.find(kSubject);
  return fixed == aRecord.mFixed.end() ||
         fixed->second <= mOptions.mWindows.At(limit);
}

PeriodsBySubject
UsageReporter::LastBefore(const DutyRecord& aRecord,
                          const StoreClockReading& aClock,
                          Millis aAt) const
{
  // The wait after a window's end is for clocks that differ.
  const Millis unixTime =
    StoreTime(aClock, aAt) + aRecord.mUnixOffset + kMinWait;
  const Millis limit = mNow + mWallOffset + kMaxClockError;
  const uint64_t open = mOptions.mWindows.At(std::min(unixTime, limit));
  return { { kSubject, std::max<uint64_t>(open, 1) - 1 } };
}

Millis
UsageReporter::StoreTime(const StoreClockReading& aClock, Millis aNow)
{
  return (aClock.Earliest(aNow) + aClock.Latest(aNow)) / 2;
}

} // namespace trefoilarch
