#pragma once

#include "dutyrecord.h"
#include "millis.h"
#include "storeclockreading.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** One report of a duty. Reports of a subject have increasing periods. */
struct DutyReport
{
  std::string mSubject;
  uint64_t mPeriod = 0;
  std::string mBody;
  /** Local time after which it is no longer sent. */
  Millis mExpiresAt;

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

/** Read all rows of the duty's table; ends with OnRead(). */
struct ReadDutyRows
{
  bool operator==(const ReadDutyRows&) const = default;
};

/**
 * Write and remove these rows in one transaction, provided that the duty's
 * record is at that version; ends with OnWritten().
 */
struct WriteDutyRows
{
  uint64_t mRecordVersion = 0;
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
  Gained,       /**< this process holds the duty */
  Lost,         /**< the lease has expired, or another process holds it */
  Released,     /**< this process stops holding it */
  Unreadable,   /**< a row is invalid and is ignored */
  ReportFixed,  /**< the store keeps the report */
  ReportSent,   /**< a call to the receiver starts */
  CallFailed,   /**< the call is to be repeated */
  Accepted,     /**< the receiver has accepted the report */
  Rejected,     /**< the receiver rejects the report for good */
  ReportGivenUp /**< the report was not accepted in time */
};

struct DutyEvent
{
  DutyEventKind mKind = DutyEventKind::Gained;
  std::string mSubject;
  uint64_t mPeriod = 0;
  std::string mDetail;

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
  /** Empty if the response does not contain the store's time. */
  std::optional<StoreClockReading> mClock{};
};

enum class DutyCallOutcome : uint8_t
{
  Accepted,
  Failed,   /**< not accepted, or unknown: the call may be repeated */
  Rejected, /**< repeating the call is of no use */
};

struct DutyOptions
{
  /** Key of the record and prefix of the reports' keys. */
  std::string mName = "duty";
  /** The host of this process, the same after a restart. */
  std::string mHost;
  /** Unique to this process. */
  std::string mHolder;
  Millis mLeaseDuration{ 3000 };
  /** The holder stops this much before its lease ends, so that a call that has
   * just started is over and clocks may differ in rate. */
  Millis mMargin{ 300 };
  Millis mRenewInterval{ 1000 };
  Millis mRetryInterval{ 300 };
  Millis mCallTimeout{ 700 };
  Millis mMaxCallBackoff{ 2000 };
  /** A host that held the duty before another host did makes no call until this
   * long after its earlier lease has ended. */
  Millis mReturnDelay{ 3000 };
  /** Whether a stored record may be one of this duty's. An implausible one is
   * treated as absent. */
  std::function<bool(const DutyRecord&)> mIsPlausible = [](const DutyRecord&) {
    return true;
  };
  /** The contents of a first record, when there is none that can be read. */
  std::function<DutyRecord(const StoreClockReading&)> mFirstRecord =
    [](const StoreClockReading&) { return DutyRecord{}; };
};

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

/**
 * One process's part in a duty that one entry performs for the whole fleet.
 *
 * Who holds the duty, its fencing token and the last fixed period are in one
 * row of the store, changed only under the condition that nobody else has
 * changed it. A report is first stored by such a write and only then sent, so
 * that a successor can send the same bytes or none.
 *
 * Leases end by the store's clock, and local clocks are never compared with one
 * another: the holder counts from the earliest time at which the store may have
 * read its clock, a successor from the latest one.
 *
 * Single-threaded and free of I/O. Copies are independent.
 */
class SingletonDuty
{
public:
  explicit SingletonDuty(DutyOptions aOptions);

  /** Sets whether this process should hold the duty if nobody else does. */
  DutyActions SetWanted(bool aWanted, Millis aNow);
  /** Must be called several times a second while the duty is wanted. */
  DutyActions OnTick(Millis aNow);
  DutyActions OnRead(const DutyRowsRead& aRead, Millis aNow);
  DutyActions OnWritten(const DutyRowsWritten& aWritten, Millis aNow);
  DutyActions OnCallEnded(DutyCallOutcome aOutcome,
                          const std::string& aDetail,
                          Millis aNow);

  /** The holder with this fencing token has just said that it holds the duty,
   * so the store need not be read before that lease may end. */
  void OnHolderHeard(uint64_t aFencingToken, Millis aNow);

  /** Whether a report of that period may be proposed now. */
  bool MayPropose(const std::string& aSubject,
                  uint64_t aPeriod,
                  Millis aNow) const;
  /** Fixes the report, and sends it once it is fixed. */
  DutyActions Propose(DutyReport aReport, Millis aNow);

  /** Whether the duty is held and stays so for aDuration. */
  bool IsHeld(Millis aNow, Millis aDuration = Millis()) const;
  /** Must be checked with the current time right before a call is sent, so that
   * a process that was suspended notices. */
  bool MayCall(const CallReceiver& aCall, Millis aNow) const;

  bool Wanted() const { return mState.mWanted; }
  /** As last read or written. */
  const DutyRecord& Record() const { return mState.mRecord; }
  /** The last fixed period of the subject; 0 for none. */
  uint64_t LastFixed(const std::string& aSubject) const;
  /** The last accepted period, as far as this process knows; 0 for none. */
  uint64_t LastAccepted(const std::string& aSubject) const;
  /** Fixed reports that are not yet accepted. */
  const std::vector<DutyReport>& Unaccepted() const
  {
    return mState.mUnaccepted;
  }
  /** Empty before the first response of the store. */
  const std::optional<StoreClockReading>& ClockReading() const
  {
    return mState.mClock;
  }
  const DutyState& State() const { return mState; }
  /** Stored with the next renewal. */
  void SetUnixOffset(Millis aOffset) { mState.mNextUnixOffset = aOffset; }

private:
  /** Empty if the row is not a valid record of this duty. */
  std::optional<DutyRecord> RecordOf(const DutyRow& aRow) const;
  void Advance(DutyActions& aOut, Millis aNow);
  void AdvanceStore(DutyActions& aOut, Millis aNow);
  void AdvanceCalls(DutyActions& aOut, Millis aNow);
  void Renew(DutyActions& aOut, Millis aNow);
  void Release(DutyActions& aOut, Millis aNow);
  void TakeOver(DutyActions& aOut, DutyRecord aRecord, Millis aNow);
  void Write(DutyActions& aOut, uint64_t aRecordVersion, DutyRecord aRecord);
  void OnOwnRecord(DutyActions& aOut,
                   DutyRecord aRecord,
                   const DutyRowsRead& aRead,
                   Millis aNow);
  void OnOtherRecord(DutyActions& aOut,
                     const DutyRecord& aRecord,
                     const DutyRowsRead& aRead,
                     Millis aNow);
  void OnNoRecord(DutyActions& aOut, uint64_t aStoreVersion, Millis aNow);
  void CollectReports(DutyActions& aOut, const std::vector<DutyRow>& aRows);
  void CollectReport(DutyActions& aOut, const DutyRow& aRow);
  void OnWriteDone(DutyActions& aOut, uint64_t aVersion, Millis aNow);
  void Hold(DutyActions& aOut, Millis aNow);
  void StopHolding(DutyActions& aOut, DutyEventKind aKind, const char* aWhy);
  void Remember(const DutyRecord& aRecord);
  /** Removes the report from those to be sent, and later from the store. */
  void Finish(const DutyReport& aReport);
  void DropExpired(DutyActions& aOut, Millis aNow);
  /** Drops past holders that can't matter any more. */
  void PrunePastHolders(DutyRecord& aRecord, Millis aNow) const;
  /** The local time from which a call to the receiver is allowed. */
  Millis FirstCallAt() const;
  DutyRow RowOf(const DutyReport& aReport) const;
  std::string KeyOf(const DutyReport& aReport) const;
  /** The report without its body; empty if it is not a report's key. */
  std::optional<DutyReport> ReportOfKey(const std::string& aKey) const;

  DutyOptions mOptions;
  DutyState mState;
};

} // namespace trefoilarch
