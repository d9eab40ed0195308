#pragma once

#include "singletonduty.h"
#include "usagecollector.h"
#include "usageupdate.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace trefoilarch {

struct UsageReporterOptions
{
  DutyOptions mDuty;
  UsageWindows mWindows{ Millis(5000) };
  /** A window's report is of use until this long after the window's end. */
  Millis mMaxLateness{ 10000 };
  /** The body of a report. */
  std::function<std::string(uint64_t, const UsageCollector::Counts&)> mFormat;
};

/** Windows that will not be reported. */
struct MissedWindows
{
  uint64_t mFirst = 0;
  uint64_t mCount = 0;

  bool operator==(const MissedWindows&) const = default;
};

/** What a UsageReporter has decided. */
struct UsageActions
{
  DutyActions mDuty;
  std::optional<MissedWindows> mMissed;
};

/**
 * Reports the fleet's usage as a singleton duty: collects the entries' counts,
 * and for each window fixes and sends one report.
 *
 * Windows are of Unix time, and hosts' clocks may jump. The time is taken from
 * the store's steady clock, by an offset that is stored with the duty: the
 * median of the entries' clocks when the record is made. Later it follows the
 * median by at most kMaxSlew, so that clocks that are wrong for a while hardly
 * move it.
 */
class UsageReporter
{
public:
  explicit UsageReporter(UsageReporterOptions aOptions);
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  /** The duty's other events are passed to it directly. */
  SingletonDuty& Duty() { return mDuty; }
  const SingletonDuty& Duty() const { return mDuty; }
  const UsageCollector& Collector() const { return mCollector; }

  UsageActions OnTick(Millis aWallTime, Millis aNow);
  /** The holder has replied to this process. */
  void OnReply(const UsageReply& aReply, Millis aNow);
  /** Returns the reply for the sender, if this process holds the duty. */
  std::optional<UsageReply> OnUpdate(const UsageUpdate& aUpdate, Millis aNow);

  /** The Unix time that the fleet has agreed on, or else that of the host. */
  Millis UnixTime(Millis aNow) const;
  /** How far the host's clock is ahead of UnixTime(). */
  Millis ClockCorrection(Millis aNow) const
  {
    return aNow + mWallOffset - UnixTime(aNow);
  }
  uint64_t Missed() const { return mMissed; }

private:
  void AdjustClock(Millis aNow);
  void SkipLateWindows(UsageActions& aActions, Millis aUnixTime);
  bool MayFix(uint64_t aWindow, Millis aUnixTime, Millis aNow) const;
  DutyRecord FirstRecord(const StoreClockReading& aClock);
  bool IsPlausible(const DutyRecord& aRecord) const;
  /** See DutyOptions::mLastBefore. */
  PeriodsBySubject LastBefore(const DutyRecord& aRecord,
                              const StoreClockReading& aClock,
                              Millis aAt) const;
  static Millis StoreTime(const StoreClockReading& aClock, Millis aNow);

  UsageReporterOptions mOptions;
  SingletonDuty mDuty;
  UsageCollector mCollector;
  /** The host's clock less the local time. */
  Millis mWallOffset;
  Millis mNow;
  /** The last window before this process made the first record. */
  std::optional<uint64_t> mFirstFixed;
  uint64_t mSkippedThrough = 0;
  uint64_t mMissed = 0;
  Millis mAdjustedAt;
};

} // namespace trefoilarch
