#pragma once

#include "millis.h"
#include "storeclockreading.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/** What a SingletonDuty requests, and how it is told the results. */
namespace trefoilarch {

/** One report of a duty. Reports of a subject have increasing periods. */
struct DutyReport
{
  std::string mSubject;
  uint64_t mPeriod = 0;
  std::string mBody;
  /** Local time after which it is no longer sent. */
  Millis mExpiresAt;

  /** Whether both are of the same subject and period. */
  bool IsSameAs(const DutyReport& aOther) const
  {
    return mSubject == aOther.mSubject && mPeriod == aOther.mPeriod;
  }

  bool operator==(const DutyReport&) const = default;
};

/** A row of the duty's table. */
struct DutyRow
{
  std::string mKey;
  std::string mText;
  /** The store's version of the row; 0 if it does not exist. */
  uint64_t mVersion = 0;

  bool operator==(const DutyRow&) const = default;
};

/** A row, and the version that a write expects it to have; 0 if it must not
 * exist. */
struct ExpectedRow
{
  std::string mKey;
  uint64_t mVersion = 0;

  bool operator==(const ExpectedRow&) const = default;
};

/** Read all rows of the duty's table; ends with OnRead(). */
struct ReadDutyRows
{
  bool operator==(const ReadDutyRows&) const = default;
};

/**
 * Write and remove these rows in one transaction, provided that the duty's
 * record and the other expected rows are at their versions; ends with
 * OnWritten().
 */
struct WriteDutyRows
{
  uint64_t mRecordVersion = 0;
  std::vector<ExpectedRow> mExpected;
  std::vector<DutyRow> mRows;
  std::vector<std::string> mRemoved;

  bool operator==(const WriteDutyRows&) const = default;
};

/**
 * Send the report to the receiver, provided that MayCall() holds right before;
 * ends with OnCallEnded(). The call must be aborted after mTimeout, and none of
 * its bytes may reach the receiver later.
 */
struct CallReceiver
{
  DutyReport mReport;
  uint64_t mFencingToken = 0;
  Millis mTimeout;

  bool operator==(const CallReceiver&) const = default;
};

/** What has changed, for the log. */
enum class DutyEventKind : uint8_t
{
  Gained,        /**< this process holds the duty */
  Lost,          /**< the lease has expired, or another process holds it */
  Released,      /**< this process stops holding it */
  Unreadable,    /**< a row is invalid and is ignored */
  ReportFixed,   /**< the store keeps the report */
  ReportSent,    /**< a call to the receiver starts */
  CallFailed,    /**< the call is to be repeated */
  Accepted,      /**< the receiver has accepted the report */
  Rejected,      /**< the receiver rejects the report for good */
  ReportGivenUp, /**< the report was not accepted in time */
  EraChanged,    /**< the store has come back from an older copy */
  PeriodsSkipped /**< periods that the store may have lost the reports of */
};

struct DutyEvent
{
  DutyEventKind mKind = DutyEventKind::Gained;
  std::string mSubject;
  /** 0 if the event is not about a report. */
  uint64_t mPeriod = 0;
  std::string mDetail;

  /** An event about this report. */
  static DutyEvent Of(DutyEventKind aKind,
                      const DutyReport& aReport,
                      std::string aDetail = "")
  {
    return { .mKind = aKind,
             .mSubject = aReport.mSubject,
             .mPeriod = aReport.mPeriod,
             .mDetail = std::move(aDetail) };
  }

  bool operator==(const DutyEvent&) const = default;
};

using DutyAction =
  std::variant<ReadDutyRows, WriteDutyRows, CallReceiver, DutyEvent>;
using DutyActions = std::vector<DutyAction>;

/** The response to a ReadDutyRows. */
struct DutyRowsRead
{
  /** False if there was no valid response. */
  bool mReached = false;
  StoreClockReading mClock;
  /** The store's newest version. */
  uint64_t mVersion = 0;
  /** The store's era; see StoreVersion. */
  uint64_t mEra = 0;
  std::vector<DutyRow> mRows;
};

enum class DutyWriteOutcome : uint8_t
{
  Done,
  Refused, /**< the record was at another version; nothing was written */
  Unknown, /**< it may have been written, or may still be */
};

/** The end of a WriteDutyRows. */
struct DutyRowsWritten
{
  DutyWriteOutcome mOutcome = DutyWriteOutcome::Unknown;
  /** The version of the written rows, if done. */
  uint64_t mVersion = 0;
  /** The store's era, unless the outcome is unknown. */
  uint64_t mEra = 0;
  /** Empty if the response does not contain the store's time. */
  std::optional<StoreClockReading> mClock{};
};

enum class DutyCallOutcome : uint8_t
{
  Accepted,
  Failed,   /**< not accepted, or unknown: the call may be repeated */
  Rejected, /**< repeating the call is of no use */
};

} // namespace trefoilarch
