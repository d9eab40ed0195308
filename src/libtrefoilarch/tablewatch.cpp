#include "tablewatch.h"

#include "storeversion.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Timeout for a response without delay. A response slower by a factor of sixty
 * is still in time. */
constexpr Millis kResponseTimeout{ 800 };

/** A delayed response that is late by more than this was affected by an outage,
 * in which rows may have expired. */
constexpr Millis kLateThreshold{ 300 };

/** Delay between two retries while the table is lost; doubled each time. */
constexpr Millis kInitialRetryDelay{ 200 };
constexpr uint32_t kMaxDoublings = 8;

/** With this many entries the store's recovery is soon detected even if each
 * waits for the maximum age. Fewer wait for less, in proportion, down to the
 * minimum. */
constexpr size_t kMaxScaledEntries = 16;
constexpr size_t kMinScaledEntries = 4;

/** Entries that learn of the store's recovery spread their queries over this
 * time. */
constexpr int64_t kRecoverySpreadMs = 200;

/** Allowance for the inaccuracy of both clocks when a store time is awaited. */
constexpr Millis kStoreTimeMargin{ 20 };

} // namespace

TableWatch::TableWatch(TableWatchOptions aOptions, TableWatchHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
{
  DrawVerificationAge();
}

void
TableWatch::Start()
{
  ReadTable();
}

void
TableWatch::OnPage(const TableResponse& aPage)
{
  if (!mFirstPage) {
    mFirstPage = aPage;
  }
  if (aPage.mHasMore) {
    return;
  }
  // A row of the first page may have changed before the last page was read, so
  // the copy is as old as its oldest page.
  const TableResponse oldest = *std::exchange(mFirstPage, std::nullopt);
  ReportRecovered();
  mVersion = oldest.mVersion;
  // The version of a row that was removed earlier is unknown, but no higher
  // than this.
  mLastChange = oldest.mVersion;
  Confirm(oldest);
  FollowChanges();
}

bool
TableWatch::IsComparable(uint64_t aVersion) const
{
  return StoreVersion::FromNumber(aVersion).mEra ==
         StoreVersion::FromNumber(mVersion).mEra;
}

void
TableWatch::OnChanges(const TableResponse& aResponse)
{
  if (!IsComparable(aResponse.mVersion)) {
    OnHistoryGone();
    return;
  }
  const Millis took = aResponse.mReceivedAt - aResponse.mSentAt;
  if (mFailures == 0 && took > mOptions.mWait + kLateThreshold) {
    mFailures = 1;
    mHooks.mOnLost("late answer", took);
  }
  ReportRecovered();
  mPollPending = false;
  TakeVersions(aResponse);
  if (std::exchange(mVerificationPending, false)) {
    // Its response may be older than this one and must not be applied after it.
    mHooks.mCancelQueries();
  }
  if (aResponse.mHasRows && !aResponse.mHasMore) {
    StartBatch(aResponse.mReceivedAt);
  } else {
    FollowChanges();
  }
}

void
TableWatch::OnVerification(const TableResponse& aResponse)
{
  if (!IsComparable(aResponse.mVersion)) {
    OnHistoryGone();
    return;
  }
  mVerificationPending = false;
  const bool wasLost = mPhase == Phase::Verifying;
  ReportRecovered();
  TakeVersions(aResponse);
  if (aResponse.mHasRows) {
    // The long poll should have reported these rows, so it was lost.
    CancelQueries();
    StartBatch(aResponse.mReceivedAt);
  } else if (wasLost) {
    FollowChanges();
  }
}

void
TableWatch::OnHistoryGone()
{
  CancelQueries();
  ReadTable();
}

void
TableWatch::OnFailed(const std::string& aReason, Millis aSentAt, Millis aNow)
{
  if (mFailures == 0) {
    mLostAt = aNow;
    mRetryAdvanced = false;
    mHooks.mOnLost(aReason, aNow - aSentAt);
  }
  CancelQueries();
  mClock.Reset();
  const Millis maxDelay = std::min(
    kInitialRetryDelay * (int64_t{ 1 } << std::min(mFailures, kMaxDoublings)),
    MaxRetryDelay());
  mFailures++;
  std::uniform_int_distribution<int64_t> delay(maxDelay.Count() / 2,
                                               maxDelay.Count());
  mPhase = Phase::Lost;
  mPhaseEndsAt = aNow + Millis(delay(mRandom));
}

Millis
TableWatch::MaxRetryDelay() const
{
  const size_t entries =
    std::clamp(mEntryCount, kMinScaledEntries, kMaxScaledEntries);
  return mOptions.mMaxAge * static_cast<int64_t>(entries) /
         static_cast<int64_t>(kMaxScaledEntries);
}

void
TableWatch::OnCheckpoint(const TableCheckpoint& aCheckpoint, Millis aNow)
{
  if (mPhase == Phase::Lost && !mRetryAdvanced &&
      WasServingSinceLost(aCheckpoint)) {
    // Only once: a store may serve others and reject this entry for long.
    mRetryAdvanced = true;
    std::uniform_int_distribution<int64_t> delay(0, kRecoverySpreadMs);
    mPhaseEndsAt = std::min(mPhaseEndsAt, aNow + Millis(delay(mRandom)));
  }
  const bool older = mStoreTime && aCheckpoint.mStoreTime <= *mStoreTime;
  if (mVersion == 0 || !IsComparable(aCheckpoint.mLastChange) ||
      aCheckpoint.mLastChange > mVersion || older) {
    return;
  }
  const auto localTime = mClock.LocalTimeOf(aCheckpoint.mStoreTime, aNow);
  if (!localTime) {
    return;
  }
  mStoreTime = aCheckpoint.mStoreTime;
  mFreshness.Confirm(*localTime);
  mHooks.mOnConfirmed(*localTime);
  DrawVerificationAge();
}

bool
TableWatch::WasServingSinceLost(const TableCheckpoint& aCheckpoint) const
{
  const auto confirmed = mFreshness.At();
  return mStoreTime && confirmed &&
         aCheckpoint.mStoreTime > *mStoreTime + (mLostAt - *confirmed);
}

void
TableWatch::SetPollsStore(bool aPollsStore)
{
  mPollsStore = aPollsStore;
  if (mPollsStore && mPhase == Phase::Following && !mPollPending) {
    FollowChanges();
  }
}

bool
TableWatch::OnUpdate(uint64_t aAfter, uint64_t aUpTo)
{
  // A pending response may contain older rows, which must not be applied after
  // these.
  const bool pending = mPollPending || mVerificationPending;
  const bool follows = aAfter <= mVersion && mVersion < aUpTo;
  if (mPhase != Phase::Following || pending || !follows) {
    return false;
  }
  mVersion = aUpTo;
  mLastChange = aUpTo;
  return true;
}

std::optional<TableCheckpoint>
TableWatch::Checkpoint() const
{
  if (mVersion == 0 || !mStoreTime) {
    return std::nullopt;
  }
  return TableCheckpoint{ .mLastChange = mLastChange,
                          .mStoreTime = *mStoreTime };
}

void
TableWatch::Tick(Millis aNow)
{
  if (aNow < NextTick()) {
    return;
  }
  if (mPhase == Phase::Batching) {
    FollowChanges();
  } else if (mPhase == Phase::Lost && mVersion == 0) {
    ReadTable();
  } else if (mPhase == Phase::Lost) {
    mPhase = Phase::Verifying;
    mPhaseEndsAt = Millis::Never();
    SendVerification();
  } else if (mPhase == Phase::Following) {
    SendVerification();
  }
}

Millis
TableWatch::NextTick() const
{
  if (mPhase == Phase::Batching && IsConfirmationRequired()) {
    return std::min(mPhaseEndsAt, RequiredVerificationAt());
  }
  if (mPhase != Phase::Following) {
    return mPhaseEndsAt;
  }
  if (mVerificationPending) {
    return Millis::Never();
  }
  return std::min(NextVerificationAt(), mClock.NextMeasurementAt());
}

Millis
TableWatch::NextVerificationAt() const
{
  const Millis due = mFreshness.At().value_or(Millis(0)) + mVerificationAge;
  return IsConfirmationRequired() ? std::min(due, RequiredVerificationAt())
                                  : due;
}

bool
TableWatch::IsConfirmationRequired() const
{
  return mStoreTime && mRequiredStoreTime > *mStoreTime;
}

Millis
TableWatch::RequiredVerificationAt() const
{
  return mFreshness.At().value_or(Millis(0)) +
         (mRequiredStoreTime - *mStoreTime) + kStoreTimeMargin;
}

void
TableWatch::ReadTable()
{
  mPhase = Phase::ReadingTable;
  mPhaseEndsAt = Millis::Never();
  mFirstPage.reset();
  mHooks.mSendQuery(
    { .mKind = TableQuery::Kind::FullRead, .mTimeout = kResponseTimeout });
}

void
TableWatch::FollowChanges()
{
  mPhase = Phase::Following;
  mPhaseEndsAt = Millis::Never();
  if (!mPollsStore) {
    return;
  }
  mPollPending = true;
  mHooks.mSendQuery({ .mKind = TableQuery::Kind::Changes,
                      .mAfter = mVersion,
                      .mWait = mOptions.mWait,
                      .mTimeout = mOptions.mWait + kResponseTimeout });
}

void
TableWatch::StartBatch(Millis aNow)
{
  if (mOptions.mBatchDelay == Millis(0) || !mPollsStore) {
    FollowChanges();
    return;
  }
  mPhase = Phase::Batching;
  mPhaseEndsAt = aNow + mOptions.mBatchDelay;
}

void
TableWatch::CancelQueries()
{
  mHooks.mCancelQueries();
  mPollPending = false;
  mVerificationPending = false;
}

void
TableWatch::SendVerification()
{
  mVerificationPending = true;
  mHooks.mSendQuery({ .mKind = TableQuery::Kind::Verification,
                      .mAfter = mVersion,
                      .mTimeout = kResponseTimeout });
}

void
TableWatch::TakeVersions(const TableResponse& aResponse)
{
  mVersion = std::max(mVersion, aResponse.mVersion);
  if (aResponse.mHasRows) {
    const uint64_t newest =
      aResponse.mNewestRow > 0 ? aResponse.mNewestRow : aResponse.mVersion;
    mLastChange = std::max(mLastChange, newest);
  }
  if (!aResponse.mHasMore) {
    Confirm(aResponse);
  }
}

void
TableWatch::Confirm(const TableResponse& aResponse)
{
  const Millis localTime =
    mClock.RespondedAt(aResponse.mSentAt, aResponse.mStoreTime);
  const Millis confirmedAt =
    std::clamp(localTime, aResponse.mSentAt, aResponse.mReceivedAt);
  mStoreTime = aResponse.mStoreTime;
  mFreshness.Confirm(confirmedAt);
  mHooks.mOnConfirmed(confirmedAt);
  DrawVerificationAge();
}

void
TableWatch::DrawVerificationAge()
{
  // Randomized so that not all entries verify at once: the first one's response
  // serves the others.
  std::uniform_int_distribution<int64_t> age(mOptions.mMaxAge.Count() / 2,
                                             mOptions.mMaxAge.Count());
  mVerificationAge = Millis(age(mRandom));
}

void
TableWatch::ReportRecovered()
{
  if (std::exchange(mFailures, 0) > 0) {
    mHooks.mOnRecovered();
  }
}

} // namespace trefoilarch
