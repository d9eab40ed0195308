#include "singletonduty.h"

#include "storeversion.h"

#include <algorithm>
#include <iterator>

/** The record of a SingletonDuty in the store. */
namespace trefoilarch {

namespace {

/** A record that expires later than this is not believed. */
constexpr Millis kMaxLeaseDuration{ 60000 };

/** A fencing token is at most the store's version when it was made. A store
 * that went back to an older copy makes it larger by no more than this. */
constexpr uint64_t kMaxTokenLead = 10000000;

/** Between the duty's name and the fencing token in the key of a holder row. */
constexpr char kHolderSeparator = '#';

/** More are another writer's, and would exceed the size of a transaction. */
constexpr size_t kMaxHolderRows = 16;

} // namespace

void
SingletonDuty::ApplyRead(DutyActions& aOut,
                         const DutyRowsRead& aRead,
                         Millis aNow)
{
  const auto row = std::find_if(
    aRead.mRows.begin(), aRead.mRows.end(), [this](const DutyRow& aRow) {
      return aRow.mKey == mOptions.mName;
    });
  const bool exists = row != aRead.mRows.end();
  const auto record = exists ? RecordOf(*row) : std::nullopt;
  mState.mReadVersion = exists ? row->mVersion : 0;
  mState.mHolderRows.clear();
  std::copy_if(aRead.mRows.begin(),
               aRead.mRows.end(),
               std::back_inserter(mState.mHolderRows),
               [this](const DutyRow& aRow) {
                 return aRow.mKey.starts_with(mOptions.mName +
                                              kHolderSeparator);
               });
  mState.mReportKeys.clear();
  for (const DutyRow& each : aRead.mRows) {
    if (ReportOfKey(each.mKey)) {
      mState.mReportKeys.push_back(each.mKey);
    }
  }
  mState.mHolderRows.resize(
    std::min(mState.mHolderRows.size(), kMaxHolderRows));
  const bool holdsSinceEarlier =
    mState.mHolding && aNow < mState.mHeldUntil && mState.mRecord.mEra < Era();
  const bool isPast = record && record->mEra < Era();
  if (holdsSinceEarlier && (isPast || !exists)) {
    RestoreRecord(aOut, aNow);
    return;
  }
  if (!record) {
    if (exists) {
      aOut.emplace_back(DutyEvent{ .mKind = DutyEventKind::Unreadable,
                                   .mDetail = "the duty's record" });
    }
    OnNoRecord(aOut, aRead.mVersion, aNow);
    return;
  }
  if (isPast) {
    OnPastRecord(aOut, *record, aRead, aNow);
    return;
  }
  // A token below the highest one is from an older copy of the store.
  const bool isOwn = record->mHolder == mOptions.mHolder &&
                     record->mFencingToken >= mState.mHighestFencingToken;
  if (isOwn) {
    OnOwnRecord(aOut, *record, aRead, aNow);
  } else {
    OnOtherRecord(aOut, *record, aRead, aNow);
  }
}

std::optional<DutyRecord>
SingletonDuty::RecordOf(const DutyRow& aRow) const
{
  auto record = DutyRecordFromText(aRow.mText);
  const StoreVersion newest{ .mEra = Era(), .mVersion = aRow.mVersion };
  const bool plausible =
    record &&
    record->mExpiresAt <= mState.mClock->mStoreTime + kMaxLeaseDuration &&
    record->mEra <= Era() &&
    record->mFencingToken <= newest.Number() + kMaxTokenLead &&
    mOptions.mIsPlausible(*record);
  return plausible ? std::move(record) : std::nullopt;
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
  if (aRecord.mEra < Era()) {
    aRecord.mEra = Era();
    aRecord.mEraSince = mState.mClock->Latest(mState.mEraSeenAt);
  }
  mState.mWritesHolderRow = true;
  Write(aOut, mState.mReadVersion, std::move(aRecord));
}

void
SingletonDuty::RestoreRecord(DutyActions& aOut, Millis aNow)
{
  mState.mNoRecordSince.reset();
  DutyRecord record = mState.mRecord;
  PrunePastHolders(record, aNow);
  record.mExpiresAt = mState.mClock->Latest(aNow) + mOptions.mLeaseDuration;
  record.mEra = Era();
  record.mEraSince = mState.mClock->Latest(mState.mEraSeenAt);
  RemoveStoredReports();
  mState.mWritesHolderRow = true;
  Write(aOut, mState.mReadVersion, std::move(record));
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
  if (mState.mWritesHolderRow) {
    AddHolderRow(write, mState.mWrittenRecord);
  } else if (mState.mWrittenRecord.mEra > 0) {
    write.mExpected.push_back(
      { .mKey = HolderRowKey(mState.mWrittenRecord.mFencingToken),
        .mVersion = mState.mHolderRowVersion });
  }
  aOut.emplace_back(std::move(write));
}

void
SingletonDuty::AddHolderRow(WriteDutyRows& aWrite,
                            const DutyRecord& aRecord) const
{
  if (aRecord.mEra == 0) {
    return; // a store without eras doesn't go back
  }
  const std::string key = HolderRowKey(aRecord.mFencingToken);
  for (const DutyRow& each : mState.mHolderRows) {
    aWrite.mExpected.push_back(
      { .mKey = each.mKey, .mVersion = each.mVersion });
    if (each.mKey != key) {
      aWrite.mRemoved.push_back(each.mKey);
    }
  }
  aWrite.mRows.push_back({ .mKey = key, .mText = aRecord.mHolder });
  // The store may have lost them with the record.
  for (const DutyReport& each : mState.mUnaccepted) {
    aWrite.mRows.push_back(RowOf(each));
  }
}

std::string
SingletonDuty::HolderRowKey(uint64_t aFencingToken) const
{
  return mOptions.mName + kHolderSeparator + std::to_string(aFencingToken);
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
  const std::string holderRow = HolderRowKey(mState.mRecord.mFencingToken);
  mState.mHolderRowVersion = 0;
  for (const DutyRow& each : mState.mHolderRows) {
    if (each.mKey == holderRow) {
      mState.mHolderRowVersion = each.mVersion;
    }
  }
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
  record.mFencingToken = NextFencingToken(aRead.mVersion);
  CollectReports(aOut, aRead.mRows);
  TakeOver(aOut, std::move(record), aNow);
}

void
SingletonDuty::OnPastRecord(DutyActions& aOut,
                            const DutyRecord& aRecord,
                            const DutyRowsRead& aRead,
                            Millis aNow)
{
  mState.mNoRecordSince.reset();
  mState.mRecordVersion = 0;
  mState.mProposed.reset();
  mState.mRemovals.clear();
  if (mState.mHolding) {
    StopHolding(aOut, DutyEventKind::Lost, "the store has lost the record");
  }
  mState.mRecord = aRecord;
  Remember(aRecord);
  if (!mState.mWanted) {
    return;
  }
  const bool isFree =
    aRecord.mHolder.empty() || mState.mClock->mStoreTime >= aRecord.mExpiresAt;
  const Millis leaseEnd =
    isFree ? aNow : mState.mClock->ReachedAt(aRecord.mExpiresAt);
  const Millis free = std::max(EarlierLeasesEndAt(), leaseEnd);
  if (aNow < free) {
    mState.mNextStoreAt =
      std::min(free, aNow + mOptions.mLeaseDuration + mOptions.mMargin);
    return;
  }
  DutyRecord record = aRecord;
  record.mFencingToken = NextFencingToken(aRead.mVersion);
  SkipUnknownPeriods(record);
  RemoveStoredReports();
  TakeOver(aOut, std::move(record), aNow);
}

void
SingletonDuty::SkipUnknownPeriods(DutyRecord& aRecord)
{
  const PeriodsBySubject last =
    mOptions.mLastBefore(aRecord, *mState.mClock, mState.mEraSeenAt);
  for (const auto& [subject, period] : last) {
    uint64_t& fixed = aRecord.mFixed[subject];
    fixed = std::max(fixed, LastFixed(subject));
    if (fixed < period) {
      mState.mWrittenSkips.push_back(
        { .mSubject = subject, .mFirst = fixed + 1, .mLast = period });
      fixed = period;
    }
  }
}

bool
SingletonDuty::AcceptEra(DutyActions& aOut, uint64_t aEra, Millis aNow)
{
  if (mState.mEra && aEra <= *mState.mEra) {
    return aEra == *mState.mEra;
  }
  if (mState.mEra) {
    aOut.emplace_back(DutyEvent{ .mKind = DutyEventKind::EraChanged,
                                 .mDetail = "from era " +
                                            std::to_string(*mState.mEra) +
                                            " to " + std::to_string(aEra) });
  }
  mState.mEra = aEra;
  mState.mEraSeenAt = aNow;
  mState.mNoRecordSince.reset();
  return true;
}

Millis
SingletonDuty::EarlierLeasesEndAt() const
{
  return mState.mEraSeenAt + mOptions.mLeaseDuration + mOptions.mMargin;
}

uint64_t
SingletonDuty::NextFencingToken(uint64_t aStoreVersion) const
{
  const StoreVersion newest{ .mEra = Era(), .mVersion = aStoreVersion };
  return std::max(mState.mHighestFencingToken, newest.Number()) + 1;
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
  record.mFencingToken = NextFencingToken(aStoreVersion);
  TakeOver(aOut, std::move(record), aNow);
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
  if (mState.mWritesHolderRow) {
    mState.mHolderRowVersion = aVersion;
  }
  for (const SkippedPeriods& each : mState.mWrittenSkips) {
    mState.mSkippedCount += each.mLast - each.mFirst + 1;
    aOut.emplace_back(
      DutyEvent{ .mKind = DutyEventKind::PeriodsSkipped,
                 .mSubject = each.mSubject,
                 .mPeriod = each.mLast,
                 .mDetail = "from period " + std::to_string(each.mFirst) });
  }
  if (mState.mWrittenReport) {
    mState.mUnaccepted.push_back(*mState.mWrittenReport);
    mState.mProposed.reset();
    aOut.emplace_back(
      DutyEvent::Of(DutyEventKind::ReportFixed, *mState.mWrittenReport));
  }
  mState.mNextStoreAt =
    mState.mProposed ? aNow : aNow + mOptions.mRenewInterval;
  Hold(aOut, aNow);
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
  const auto isOwn = [this](const PastHolder& aPast) {
    return aPast.mHost == mOptions.mHost;
  };
  const auto& past = mState.mRecord.mPastHolders;
  const auto lastOther = std::find_if_not(past.rbegin(), past.rend(), isOwn);
  Millis first;
  if (mState.mRecord.mEra > 0) {
    // The store may have lost that this host held the duty.
    first = mState.mClock->ReachedAt(mState.mRecord.mEraSince) +
            mOptions.mLeaseDuration + mOptions.mMargin + mOptions.mReturnDelay;
  }
  std::for_each(past.begin(), lastOther.base(), [&](const PastHolder& aPast) {
    if (isOwn(aPast)) {
      const Millis end = aPast.mUntil + mOptions.mReturnDelay;
      first = std::max(first, mState.mClock->ReachedAt(end));
    }
  });
  return first;
}

} // namespace trefoilarch
