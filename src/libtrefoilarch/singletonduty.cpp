#include "singletonduty.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace trefoilarch {

namespace {

/** After this time the store is read again, as clocks differ in rate. */
constexpr Millis kMaxReadingAge{ 30000 };

/** A record that expires later than this is not believed. */
constexpr Millis kMaxLeaseDuration{ 60000 };

/** A fencing token is at most the store's version when it was made. A store
 * that went back to an older copy makes it larger by no more than this. */
constexpr uint64_t kMaxTokenLead = 10000000;

constexpr char kKeySeparator = '/';

bool
IsSameReport(const DutyReport& aLeft, const DutyReport& aRight)
{
  return aLeft.mSubject == aRight.mSubject && aLeft.mPeriod == aRight.mPeriod;
}

uint64_t
PeriodOf(const std::map<std::string, uint64_t>& aPeriods,
         const std::string& aSubject)
{
  const auto found = aPeriods.find(aSubject);
  return found == aPeriods.end() ? 0 : found->second;
}

DutyEvent
EventOf(DutyEventKind aKind, const DutyReport& aReport, std::string aDetail)
{
  return { .mKind = aKind,
           .mSubject = aReport.mSubject,
           .mPeriod = aReport.mPeriod,
           .mDetail = std::move(aDetail) };
}

} // namespace

SingletonDuty::SingletonDuty(DutyOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

DutyActions
SingletonDuty::SetWanted(bool aWanted, Millis aNow)
{
  DutyActions out;
  if (aWanted != mState.mWanted) {
    mState.mWanted = aWanted;
    mState.mNextStoreAt = aNow;
  }
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnTick(Millis aNow)
{
  DutyActions out;
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnRead(const DutyRowsRead& aRead, Millis aNow)
{
  DutyActions out;
  mState.mStoreBusy = false;
  mState.mNextStoreAt = aNow + mOptions.mRetryInterval;
  if (aRead.mReached) {
    mState.mClock = aRead.mClock;
    const auto row = std::find_if(
      aRead.mRows.begin(), aRead.mRows.end(), [this](const DutyRow& aRow) {
        return aRow.mKey == mOptions.mName;
      });
    const bool exists = row != aRead.mRows.end();
    const auto record = exists ? RecordOf(*row) : std::nullopt;
    mState.mReadVersion = exists ? row->mVersion : 0;
    if (exists && !record) {
      out.emplace_back(DutyEvent{ .mKind = DutyEventKind::Unreadable,
                                  .mDetail = "the duty's record" });
    }
    if (!record) {
      OnNoRecord(out, aRead.mVersion, aNow);
    } else if (record->mHolder == mOptions.mHolder &&
               record->mFencingToken >= mState.mHighestFencingToken) {
      OnOwnRecord(out, *record, aRead, aNow);
    } else {
      OnOtherRecord(out, *record, aRead, aNow);
    }
  }
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnWritten(const DutyRowsWritten& aWritten, Millis aNow)
{
  DutyActions out;
  mState.mStoreBusy = false;
  mState.mRecordVersion =
    0; // unless done, the store is read before the next write
  mState.mNextStoreAt = aNow;
  if (aWritten.mClock) {
    mState.mClock = aWritten.mClock;
  }
  if (aWritten.mOutcome == DutyWriteOutcome::Done) {
    OnWriteDone(out, aWritten.mVersion, aNow);
  } else if (aWritten.mOutcome == DutyWriteOutcome::Unknown) {
    mState.mNextStoreAt = aNow + mOptions.mRetryInterval;
  }
  mState.mWrittenReport.reset();
  mState.mWrittenRemovals.clear();
  Advance(out, aNow);
  return out;
}

DutyActions
SingletonDuty::OnCallEnded(DutyCallOutcome aOutcome,
                           const std::string& aDetail,
                           Millis aNow)
{
  DutyActions out;
  if (!mState.mCalled) {
    return out;
  }
  const DutyReport report = *mState.mCalled;
  mState.mCalled.reset();
  if (aOutcome == DutyCallOutcome::Failed) {
    mState.mCallBackoff = std::clamp(mState.mCallBackoff * 2,
                                     mOptions.mRetryInterval,
                                     mOptions.mMaxCallBackoff);
    mState.mNextCallAt = aNow + mState.mCallBackoff;
    out.emplace_back(EventOf(DutyEventKind::CallFailed, report, aDetail));
  } else {
    mState.mCallBackoff = Millis(0);
    Finish(report);
    const bool accepted = aOutcome == DutyCallOutcome::Accepted;
    out.emplace_back(
      EventOf(accepted ? DutyEventKind::Accepted : DutyEventKind::Rejected,
              report,
              aDetail));
  }
  Advance(out, aNow);
  return out;
}

void
SingletonDuty::OnHolderHeard(uint64_t aFencingToken, Millis aNow)
{
  const bool isOwn = mState.mHolding || mState.mRecordVersion != 0;
  if (isOwn || !mState.mClock || aFencingToken < mState.mHighestFencingToken) {
    return;
  }
  const Millis leaseEnd = aNow + mOptions.mLeaseDuration;
  const Millis nextReading = mState.mClock->mReceivedAt + kMaxReadingAge;
  mState.mNextStoreAt =
    std::max(mState.mNextStoreAt, std::min(leaseEnd, nextReading));
}

bool
SingletonDuty::MayPropose(const std::string& aSubject,
                          uint64_t aPeriod,
                          Millis aNow) const
{
  return mState.mWanted && IsHeld(aNow) && !mState.mProposed &&
         aPeriod > LastFixed(aSubject);
}

DutyActions
SingletonDuty::Propose(DutyReport aReport, Millis aNow)
{
  DutyActions out;
  if (MayPropose(aReport.mSubject, aReport.mPeriod, aNow)) {
    mState.mProposed = std::move(aReport);
    mState.mNextStoreAt = aNow;
    Advance(out, aNow);
  }
  return out;
}

bool
SingletonDuty::IsHeld(Millis aNow, Millis aDuration) const
{
  return mState.mHolding && aNow + aDuration < mState.mHeldUntil;
}

bool
SingletonDuty::MayCall(const CallReceiver& aCall, Millis aNow) const
{
  return mState.mCalled && IsSameReport(*mState.mCalled, aCall.mReport) &&
         aCall.mFencingToken == mState.mRecord.mFencingToken &&
         IsHeld(aNow, aCall.mTimeout);
}

uint64_t
SingletonDuty::LastFixed(const std::string& aSubject) const
{
  return PeriodOf(mState.mHighestFixed, aSubject);
}

uint64_t
SingletonDuty::LastAccepted(const std::string& aSubject) const
{
  return PeriodOf(mState.mAccepted, aSubject);
}

std::optional<DutyRecord>
SingletonDuty::RecordOf(const DutyRow& aRow) const
{
  auto record = DutyRecordFromText(aRow.mText);
  const bool plausible =
    record &&
    record->mExpiresAt <= mState.mClock->mStoreTime + kMaxLeaseDuration &&
    record->mFencingToken <= aRow.mVersion + kMaxTokenLead &&
    mOptions.mIsPlausible(*record);
  return plausible ? std::move(record) : std::nullopt;
}

void
SingletonDuty::Advance(DutyActions& aOut, Millis aNow)
{
  if (mState.mHolding && aNow >= mState.mHeldUntil) {
    StopHolding(aOut, DutyEventKind::Lost, "the lease has expired");
  }
  DropExpired(aOut, aNow);
  AdvanceStore(aOut, aNow);
  AdvanceCalls(aOut, aNow);
}

void
SingletonDuty::AdvanceStore(DutyActions& aOut, Millis aNow)
{
  const bool active =
    mState.mWanted || mState.mHolding || mState.mRecordVersion != 0;
  if (mState.mStoreBusy || !active || aNow < mState.mNextStoreAt) {
    return;
  }
  const bool tooOld =
    !mState.mClock || aNow - mState.mClock->mReceivedAt > kMaxReadingAge;
  if (mState.mRecordVersion == 0 || tooOld) {
    mState.mStoreBusy = true;
    aOut.emplace_back(ReadDutyRows{});
  } else if (mState.mWanted) {
    Renew(aOut, aNow);
  } else if (!mState.mCalled) {
    Release(aOut, aNow);
  }
}

void
SingletonDuty::AdvanceCalls(DutyActions& aOut, Millis aNow)
{
  const bool due = !mState.mCalled && !mState.mUnaccepted.empty() &&
                   aNow >= mState.mNextCallAt;
  if (!due || !mState.mWanted || aNow < mState.mMayCallFrom ||
      !IsHeld(aNow, mOptions.mCallTimeout)) {
    return;
  }
  mState.mCalled = mState.mUnaccepted.front();
  aOut.emplace_back(EventOf(DutyEventKind::ReportSent, *mState.mCalled, ""));
  aOut.emplace_back(CallReceiver{ .mReport = *mState.mCalled,
                                  .mFencingToken = mState.mRecord.mFencingToken,
                                  .mTimeout = mOptions.mCallTimeout });
}

void
SingletonDuty::Renew(DutyActions& aOut, Millis aNow)
{
  DutyRecord record = mState.mRecord;
  PrunePastHolders(record, aNow);
  record.mExpiresAt = mState.mClock->Latest(aNow) + mOptions.mLeaseDuration;
  record.mUnixOffset = mState.mNextUnixOffset.value_or(record.mUnixOffset);
  mState.mWrittenReport = mState.mProposed;
  if (mState.mProposed) {
    record.mFixed[mState.mProposed->mSubject] = mState.mProposed->mPeriod;
  }
  Write(aOut, mState.mRecordVersion, std::move(record));
}

void
SingletonDuty::Release(DutyActions& aOut, Millis aNow)
{
  DutyRecord record = mState.mRecord;
  record.mHolder.clear();
  record.mExpiresAt = std::min(record.mExpiresAt, mState.mClock->Latest(aNow));
  StopHolding(aOut, DutyEventKind::Released, "");
  Write(aOut, mState.mRecordVersion, std::move(record));
}

void
SingletonDuty::TakeOver(DutyActions& aOut, DutyRecord aRecord, Millis aNow)
{
  if (!aRecord.mHost.empty()) {
    aRecord.mPastHolders.push_back(
      { .mHost = aRecord.mHost, .mUntil = aRecord.mExpiresAt });
  }
  PrunePastHolders(aRecord, aNow);
  aRecord.mHolder = mOptions.mHolder;
  aRecord.mHost = mOptions.mHost;
  aRecord.mExpiresAt = mState.mClock->Latest(aNow) + mOptions.mLeaseDuration;
  Write(aOut, mState.mReadVersion, std::move(aRecord));
}

void
SingletonDuty::Write(DutyActions& aOut,
                     uint64_t aRecordVersion,
                     DutyRecord aRecord)
{
  // A store that went back to an older copy must not lower them.
  for (const auto& [subject, period] : mState.mHighestFixed) {
    uint64_t& fixed = aRecord.mFixed[subject];
    fixed = std::max(fixed, period);
  }
  mState.mStoreBusy = true;
  mState.mWrittenRecord = std::move(aRecord);
  mState.mWrittenRemovals = mState.mRemovals;
  WriteDutyRows write{
    .mRecordVersion = aRecordVersion,
    .mRows = { { .mKey = mOptions.mName,
                 .mText = DutyRecordToText(mState.mWrittenRecord) } },
    .mRemoved = mState.mRemovals
  };
  if (mState.mWrittenReport) {
    write.mRows.push_back(RowOf(*mState.mWrittenReport));
  }
  aOut.emplace_back(std::move(write));
}

void
SingletonDuty::OnOwnRecord(DutyActions& aOut,
                           DutyRecord aRecord,
                           const DutyRowsRead& aRead,
                           Millis aNow)
{
  mState.mNoRecordSince.reset();
  mState.mRecordVersion = mState.mReadVersion;
  mState.mRecord = std::move(aRecord);
  Remember(mState.mRecord);
  if (mState.mProposed &&
      mState.mProposed->mPeriod <= LastFixed(mState.mProposed->mSubject)) {
    mState.mProposed.reset(); // written, though the response was lost
  }
  CollectReports(aOut, aRead.mRows);
  Hold(aOut, aNow);
  mState.mNextStoreAt = aNow;
}

void
SingletonDuty::OnOtherRecord(DutyActions& aOut,
                             const DutyRecord& aRecord,
                             const DutyRowsRead& aRead,
                             Millis aNow)
{
  mState.mNoRecordSince.reset();
  mState.mRecordVersion = 0;
  mState.mProposed.reset();
  mState.mUnaccepted.clear();
  mState.mRemovals.clear();
  if (mState.mHolding) {
    StopHolding(aOut, DutyEventKind::Lost, "another process holds the duty");
  }
  mState.mRecord = aRecord;
  Remember(aRecord);
  if (!mState.mWanted) {
    return;
  }
  const bool isFree = aRecord.mHolder.empty() ||
                      aRecord.mHolder == mOptions.mHolder ||
                      mState.mClock->mStoreTime >= aRecord.mExpiresAt;
  if (!isFree) {
    const Millis duration = mOptions.mLeaseDuration + mOptions.mMargin;
    mState.mNextStoreAt =
      std::min(mState.mClock->ReachedAt(aRecord.mExpiresAt), aNow + duration);
    return;
  }
  DutyRecord record = aRecord;
  record.mFencingToken =
    std::max(mState.mHighestFencingToken, aRead.mVersion) + 1;
  CollectReports(aOut, aRead.mRows);
  TakeOver(aOut, std::move(record), aNow);
}

void
SingletonDuty::OnNoRecord(DutyActions& aOut,
                          uint64_t aStoreVersion,
                          Millis aNow)
{
  mState.mRecordVersion = 0;
  mState.mProposed.reset();
  mState.mUnaccepted.clear();
  mState.mRemovals.clear();
  if (mState.mHolding) {
    StopHolding(aOut, DutyEventKind::Lost, "the record is gone");
  }
  mState.mNoRecordSince = mState.mNoRecordSince.value_or(aNow);
  // The holder of a record that was removed stops within this time.
  const Millis wait = mOptions.mLeaseDuration + mOptions.mMargin;
  if (!mState.mWanted || aNow - *mState.mNoRecordSince < wait) {
    mState.mNextStoreAt = *mState.mNoRecordSince + wait;
    return;
  }
  DutyRecord record = mOptions.mFirstRecord(*mState.mClock);
  record.mFencingToken =
    std::max(mState.mHighestFencingToken, aStoreVersion) + 1;
  TakeOver(aOut, std::move(record), aNow);
}

void
SingletonDuty::CollectReports(DutyActions& aOut,
                              const std::vector<DutyRow>& aRows)
{
  for (const DutyRow& row : aRows) {
    CollectReport(aOut, row);
  }
  std::sort(mState.mUnaccepted.begin(),
            mState.mUnaccepted.end(),
            [](const DutyReport& aLeft, const DutyReport& aRight) {
              return aLeft.mPeriod < aRight.mPeriod;
            });
}

void
SingletonDuty::CollectReport(DutyActions& aOut, const DutyRow& aRow)
{
  auto report = ReportOfKey(aRow.mKey);
  if (!report) {
    return;
  }
  const auto stored = StoredReportFromText(aRow.mText);
  if (!stored ||
      report->mPeriod > PeriodOf(mState.mRecord.mFixed, report->mSubject)) {
    aOut.emplace_back(
      EventOf(DutyEventKind::Unreadable, *report, "a stored report"));
    return;
  }
  if (report->mPeriod <= LastAccepted(report->mSubject)) {
    return;
  }
  const bool known = std::any_of(
    mState.mUnaccepted.begin(),
    mState.mUnaccepted.end(),
    [&](const DutyReport& aOther) { return IsSameReport(aOther, *report); });
  if (!known) {
    report->mBody = stored->mBody;
    report->mExpiresAt = mState.mClock->BeforeUntil(stored->mExpiresAt);
    mState.mUnaccepted.push_back(std::move(*report));
  }
}

void
SingletonDuty::OnWriteDone(DutyActions& aOut, uint64_t aVersion, Millis aNow)
{
  mState.mRecord = mState.mWrittenRecord;
  Remember(mState.mRecord);
  std::erase_if(mState.mRemovals, [this](const std::string& aKey) {
    return std::find(mState.mWrittenRemovals.begin(),
                     mState.mWrittenRemovals.end(),
                     aKey) != mState.mWrittenRemovals.end();
  });
  if (mState.mRecord.mHolder.empty()) {
    return; // released
  }
  mState.mRecordVersion = aVersion;
  if (mState.mWrittenReport) {
    mState.mUnaccepted.push_back(*mState.mWrittenReport);
    mState.mProposed.reset();
    aOut.emplace_back(
      EventOf(DutyEventKind::ReportFixed, *mState.mWrittenReport, ""));
  }
  mState.mNextStoreAt =
    mState.mProposed ? aNow : aNow + mOptions.mRenewInterval;
  Hold(aOut, aNow);
}

void
SingletonDuty::Hold(DutyActions& aOut, Millis aNow)
{
  mState.mHeldUntil =
    mState.mClock->BeforeUntil(mState.mRecord.mExpiresAt - mOptions.mMargin);
  if (aNow >= mState.mHeldUntil) {
    mState.mNextStoreAt = aNow; // too late to be of use
    return;
  }
  if (!mState.mHolding) {
    mState.mHolding = true;
    mState.mMayCallFrom = FirstCallAt();
    aOut.emplace_back(DutyEvent{ .mKind = DutyEventKind::Gained });
  }
}

void
SingletonDuty::StopHolding(DutyActions& aOut,
                           DutyEventKind aKind,
                           const char* aWhy)
{
  if (mState.mHolding) {
    mState.mHolding = false;
    aOut.emplace_back(DutyEvent{ .mKind = aKind, .mDetail = aWhy });
  }
}

void
SingletonDuty::Remember(const DutyRecord& aRecord)
{
  mState.mHighestFencingToken =
    std::max(mState.mHighestFencingToken, aRecord.mFencingToken);
  for (const auto& [subject, period] : aRecord.mFixed) {
    uint64_t& highest = mState.mHighestFixed[subject];
    highest = std::max(highest, period);
  }
}

void
SingletonDuty::Finish(const DutyReport& aReport)
{
  std::erase_if(mState.mUnaccepted, [&](const DutyReport& aOther) {
    return IsSameReport(aOther, aReport);
  });
  uint64_t& accepted = mState.mAccepted[aReport.mSubject];
  accepted = std::max(accepted, aReport.mPeriod);
  mState.mRemovals.push_back(KeyOf(aReport));
}

void
SingletonDuty::DropExpired(DutyActions& aOut, Millis aNow)
{
  const std::vector<DutyReport> reports = mState.mUnaccepted;
  for (const DutyReport& each : reports) {
    const bool isCalled = mState.mCalled && IsSameReport(*mState.mCalled, each);
    if (aNow >= each.mExpiresAt && !isCalled) {
      Finish(each);
      aOut.emplace_back(EventOf(DutyEventKind::ReportGivenUp, each, ""));
    }
  }
}

void
SingletonDuty::PrunePastHolders(DutyRecord& aRecord, Millis aNow) const
{
  const Millis storeTime = mState.mClock->Earliest(aNow);
  std::erase_if(aRecord.mPastHolders, [&](const PastHolder& aPast) {
    return aPast.mUntil + mOptions.mReturnDelay < storeTime;
  });
}

Millis
SingletonDuty::FirstCallAt() const
{
  Millis first;
  bool otherAfter = false;
  const auto& past = mState.mRecord.mPastHolders;
  for (auto each = past.rbegin(); each != past.rend(); ++each) {
    if (each->mHost != mOptions.mHost) {
      otherAfter = true;
    } else if (otherAfter) {
      const Millis end = each->mUntil + mOptions.mReturnDelay;
      first = std::max(first, mState.mClock->ReachedAt(end));
    }
  }
  return first;
}

DutyRow
SingletonDuty::RowOf(const DutyReport& aReport) const
{
  return { .mKey = KeyOf(aReport),
           .mText = StoredReportToText(
             { .mBody = aReport.mBody,
               .mExpiresAt = mState.mClock->Latest(aReport.mExpiresAt) }) };
}

std::string
SingletonDuty::KeyOf(const DutyReport& aReport) const
{
  return mOptions.mName + kKeySeparator + aReport.mSubject + kKeySeparator +
         std::to_string(aReport.mPeriod);
}

std::optional<DutyReport>
SingletonDuty::ReportOfKey(const std::string& aKey) const
{
  const std::string prefix = mOptions.mName + kKeySeparator;
  const size_t separator = aKey.rfind(kKeySeparator);
  if (!aKey.starts_with(prefix) || separator < prefix.size()) {
    return std::nullopt;
  }
  DutyReport report{ .mSubject =
                       aKey.substr(prefix.size(), separator - prefix.size()) };
  const char* end = aKey.data() + aKey.size();
  const auto [parsed, error] =
    std::from_chars(aKey.data() + separator + 1, end, report.mPeriod);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return report;
}

} // namespace trefoilarch
