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

/** The complete state of a SingletonDuty. */
struct DutyState
{
  bool mWanted = false;
  /** A read or write is in progress. */
  bool mStoreBusy = false;
  Millis mNextStoreAt;
  std::optional<StoreClockReading> mClock;
  DutyRecord mRecord;
  /** The version of this process's record in the store; 0 if the store has to
   * be read before the next write. */
  uint64_t mRecordVersion = 0;
  /** The version of the record's row as last read; 0 if there is none. */
  uint64_t mReadVersion = 0;
  /** The write in progress: its record, report and removed keys. */
  DutyRecord mWrittenRecord;
  std::optional<DutyReport> mWrittenReport;
  std::vector<std::string> mWrittenRemovals;
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
  Millis mNextCallAt;
  Millis mCallBackoff;

  bool operator==(const DutyState&) const = default;
};

} // namespace trefoilarch
