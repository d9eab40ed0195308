#pragma once

#include "dutyactions.h"
#include "dutyrecord.h"
#include "millis.h"
#include "storeclockreading.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** Periods of a subject that are not reported, as the store may have lost the
 * reports of them. */
struct SkippedPeriods
{
  std::string mSubject;
  uint64_t mFirst = 0;
  uint64_t mLast = 0;

  bool operator==(const SkippedPeriods&) const = default;
};

/** The complete state of a SingletonDuty. */
struct DutyState
{
  bool mWanted = false;
  /** A read or write is in progress. */
  bool mStoreBusy = false;
  Millis mNextStoreAt;
  std::optional<StoreClockReading> mClock;
  /** The newest era of the store; empty before its first response. */
  std::optional<uint64_t> mEra;
  /** When this process first found the store in that era. No lease or report
   * of an earlier era was granted later. */
  Millis mEraSeenAt;
  DutyRecord mRecord;
  /** The version of this process's record in the store; 0 if the store has to
   * be read before the next write. */
  uint64_t mRecordVersion = 0;
  /** The version of the record's row as last read; 0 if there is none. */
  uint64_t mReadVersion = 0;
  /** Keys of the stored reports as last read. */
  std::vector<std::string> mReportKeys;
  /** The holder rows as last read, and the version of this process's own. */
  std::vector<DutyRow> mHolderRows;
  uint64_t mHolderRowVersion = 0;
  /** The write in progress: its record, report and removed keys. */
  DutyRecord mWrittenRecord;
  std::optional<DutyReport> mWrittenReport;
  std::vector<std::string> mWrittenRemovals;
  /** Whether it writes a holder row, and the periods that it skips. */
  bool mWritesHolderRow = false;
  std::vector<SkippedPeriods> mWrittenSkips;
  /** Since when the store has had no valid record. */
  std::optional<Millis> mNoRecordSince;
  std::optional<Millis> mNextUnixOffset;
  bool mHolding = false;
  Millis mHeldUntil;
  Millis mMayCallFrom;
  /** The highest values seen, which hold whatever the store says later. */
  uint64_t mHighestFencingToken = 0;
  std::map<std::string, uint64_t> mHighestFixed;
  std::map<std::string, uint64_t> mAccepted;
  std::optional<DutyReport> mProposed;
  std::vector<DutyReport> mUnaccepted;
  /** Keys of reports to be removed with the next write. */
  std::vector<std::string> mRemovals;
  /** The report whose call is in progress. */
  std::optional<DutyReport> mCalled;
  uint64_t mSkippedCount = 0;
  Millis mNextCallAt;
  Millis mCallBackoff;

  bool operator==(const DutyState&) const = default;
};

} // namespace trefoilarch
