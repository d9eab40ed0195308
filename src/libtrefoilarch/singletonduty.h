#pragma once

#include "dutyactions.h"
#include "dutyrecord.h"
#include "dutystate.h"
#include "millis.h"
#include "storeclockreading.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

using PeriodsBySubject = std::map<std::string, uint64_t>;

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
  /** By subject: the last period that may have been fixed before that local
   * time by a holder whose record the store has lost. */
  std::function<
    PeriodsBySubject(const DutyRecord&, const StoreClockReading&, Millis)>
    mLastBefore = [](const DutyRecord&, const StoreClockReading&, Millis) {
      return PeriodsBySubject{};
    };
};

/**
 * One process's part in a duty that one entry performs for the whole fleet.
 *
 * Who holds the duty, its fencing token and the last fixed period are in one
 * row of the store, changed only under the condition that nobody else has
 * changed it. A report is first stored by such a write and only then sent, so
 * that a successor can send the same bytes or none.
 *
 * The store may come back from an older copy of itself, under a new era.
 * Fencing tokens contain the era, and a record of an earlier era is no proof
 * that nothing was fixed or granted after it: only a process that has held the
 * duty throughout goes on; any other waits until leases of the earlier era have
 * ended, and skips the periods that may have been fixed in it. As versions are
 * given out again, a write of the holder also expects the row that the holder
 * wrote at its takeover.
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
  /** The holder has said that the period is fixed. */
  void OnFixedHeard(const std::string& aSubject, uint64_t aPeriod);

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
  /** Periods skipped because the store may have lost their reports. */
  uint64_t SkippedCount() const { return mState.mSkippedCount; }
  /** The newest era of the store. */
  uint64_t Era() const { return mState.mEra.value_or(0); }
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
  /** Returns false for a response of an earlier era. */
  bool AcceptEra(DutyActions& aOut, uint64_t aEra, Millis aNow);
  /** When no lease of an earlier era is valid any more. */
  Millis EarlierLeasesEndAt() const;
  uint64_t NextFencingToken(uint64_t aStoreVersion) const;
  void TakeOver(DutyActions& aOut, DutyRecord aRecord, Millis aNow);
  /** Writes the held record into a store that came back from a copy. */
  void RestoreRecord(DutyActions& aOut, Millis aNow);
  void Write(DutyActions& aOut, uint64_t aRecordVersion, DutyRecord aRecord);
  /** Lets the write claim the duty for the record's holder. */
  void AddHolderRow(WriteDutyRows& aWrite, const DutyRecord& aRecord) const;
  /** Lets the next write remove all stored reports but this process's own. A
   * write of an earlier era may have been done after the return of the store,
   * with a report that differs from one that the store has lost. */
  void RemoveStoredReports();
  void ApplyRead(DutyActions& aOut, const DutyRowsRead& aRead, Millis aNow);
  void OnOwnRecord(DutyActions& aOut,
                   DutyRecord aRecord,
                   const DutyRowsRead& aRead,
                   Millis aNow);
  void OnOtherRecord(DutyActions& aOut,
                     const DutyRecord& aRecord,
                     const DutyRowsRead& aRead,
                     Millis aNow);
  void OnNoRecord(DutyActions& aOut, uint64_t aStoreVersion, Millis aNow);
  /** The record is of an earlier era. */
  void OnPastRecord(DutyActions& aOut,
                    const DutyRecord& aRecord,
                    const DutyRowsRead& aRead,
                    Millis aNow);
  void SkipUnknownPeriods(DutyRecord& aRecord);
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
  /** The key of the row that a holder writes at its takeover. */
  std::string HolderRowKey(uint64_t aFencingToken) const;
  /** The report without its body; empty if it is not a report's key. */
  std::optional<DutyReport> ReportOfKey(const std::string& aKey) const;

  DutyOptions mOptions;
  DutyState mState;
};

} // namespace trefoilarch
