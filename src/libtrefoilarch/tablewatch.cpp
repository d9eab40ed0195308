#include "tablewatch.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** For an answer that the store need not hold back; one that is slow by a
 * factor of sixty still makes it. */
constexpr Millis kAnswerSpan{ 800 };

/** An answer that was held back and comes this much too late was held up by
 * an outage: rows may have lapsed in it. */
constexpr Millis kLateAnswer{ 300 };

/** Between two questions while the table is lost: doubled each time. */
constexpr Millis kFirstPause{ 200 };
constexpr uint32_t kMostDoublings = 8;

/** So many entries find the store's return soon though each pauses for the
 * bound; fewer pause for less, in proportion, down to so many. */
constexpr size_t kManyEntries = 16;
constexpr size_t kFewEntries = 4;

/** Entries that hear that the store is back ask within this, not all in the
 * same moment. */
constexpr int64_t kReturnSpreadMs = 200;

/** Both clocks may be off by this much when a reading is waited for. */
constexpr Millis kWantedMargin{ 20 };

} // namespace

TableWatch::TableWatch(TableWatchOptions aOptions, TableWatchHooks aHooks)
  : mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mRandom(mOptions.mSeed)
{
  DrawProofAge();
}

void
TableWatch::Start()
{
  Read();
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
  // A row of the first page may have changed before the last one was read: the
  // copy is as old as its oldest page.
  const TableResponse oldest = *std::exchange(mFirstPage, std::nullopt);
  NoteBack();
  mVersion = oldest.mVersion;
  // A row that was removed before is not among them: its version is unknown,
  // and no higher than this.
  mLastChange = oldest.mVersion;
  Confirm(oldest);
  Follow();
}

void
TableWatch::OnChanges(const TableResponse& aAnswer)
{
  const Millis took = aAnswer.mReceivedAt - aAnswer.mSentAt;
  if (mFailures == 0 && took > mOptions.mWait + kLateAnswer) {
    mFailures = 1;
    mHooks.mOnLost("late answer", took);
  }
  NoteBack();
  mFeedAsked = false;
  TakeVersions(aAnswer);
  if (std::exchange(mProofAsked, false)) {
    // Its answer may be older than this one, and must not come after it.
    mHooks.mCancelQueries();
  }
  if (aAnswer.mHasRows && !aAnswer.mHasMore) {
    Gather(aAnswer.mReceivedAt);
  } else {
    Follow();
  }
}

void
TableWatch::OnVerification(const TableResponse& aAnswer)
{
  mProofAsked = false;
  const bool wasLost = mPhase == Phase::Asking;
  NoteBack();
  TakeVersions(aAnswer);
  if (aAnswer.mHasRows) {
    // The waiting question should have told of them: it was lost.
    Abandon();
    Gather(aAnswer.mReceivedAt);
  } else if (wasLost) {
    Follow();
  }
}

void
TableWatch::OnHistoryGone()
{
  Abandon();
  Read();
}

void
TableWatch::OnFailed(const std::string& aWhy, Millis aAsked, Millis aNow)
{
  if (mFailures == 0) {
    mLostAt = aNow;
    mHurried = false;
    mHooks.mOnLost(aWhy, aNow - aAsked);
  }
  Abandon();
  mClock.Reset();
  const Millis longest = std::min(
    kFirstPause * (int64_t{ 1 } << std::min(mFailures, kMostDoublings)),
    LongestPause());
  mFailures++;
  std::uniform_int_distribution<int64_t> span(longest.Count() / 2,
                                              longest.Count());
  mPhase = Phase::Lost;
  mPhaseEnds = aNow + Millis(span(mRandom));
}

Millis
TableWatch::LongestPause() const
{
  const size_t entries = std::clamp(mEntries, kFewEntries, kManyEntries);
  return mOptions.mMaxAge * static_cast<int64_t>(entries) /
         static_cast<int64_t>(kManyEntries);
}

void
TableWatch::OnCheckpoint(const TableCheckpoint& aWord, Millis aNow)
{
  if (mPhase == Phase::Lost && !mHurried && WasReadSinceLost(aWord)) {
    // Once: a store may serve others and turn this one away for long.
    mHurried = true;
    std::uniform_int_distribution<int64_t> pause(0, kReturnSpreadMs);
    mPhaseEnds = std::min(mPhaseEnds, aNow + Millis(pause(mRandom)));
  }
  const bool older = mStoreTime && aWord.mStoreTime <= *mStoreTime;
  if (mVersion == 0 || aWord.mLastChange > mVersion || older) {
    return;
  }
  const auto made = mClock.LocalTimeOf(aWord.mStoreTime, aNow);
  if (!made) {
    return;
  }
  mStoreTime = aWord.mStoreTime;
  mFreshness.Confirm(*made);
  mHooks.mOnConfirmed(*made);
  DrawProofAge();
}

bool
TableWatch::WasReadSinceLost(const TableCheckpoint& aWord) const
{
  const auto confirmed = mFreshness.At();
  return mStoreTime && confirmed &&
         aWord.mStoreTime > *mStoreTime + (mLostAt - *confirmed);
}

void
TableWatch::SetPollsStore(bool aListening)
{
  mListening = aListening;
  if (mListening && mPhase == Phase::Following && !mFeedAsked) {
    Follow();
  }
}

bool
TableWatch::OnUpdate(uint64_t aAfter, uint64_t aUpTo)
{
  // An answer that is under way may hold older rows, which must not come after
  // these.
  const bool asking = mFeedAsked || mProofAsked;
  const bool follows = aAfter <= mVersion && mVersion < aUpTo;
  if (mPhase != Phase::Following || asking || !follows) {
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
  if (mPhase == Phase::Gathering) {
    Follow();
  } else if (mPhase == Phase::Lost && mVersion == 0) {
    Read();
  } else if (mPhase == Phase::Lost) {
    mPhase = Phase::Asking;
    mPhaseEnds = Millis::Never();
    AskProof();
  } else if (mPhase == Phase::Following) {
    AskProof();
  }
}

Millis
TableWatch::NextTick() const
{
  if (mPhase != Phase::Following) {
    return mPhaseEnds;
  }
  if (mProofAsked) {
    return Millis::Never();
  }
  return std::min(ProofDue(), mClock.NextMeasurementAt());
}

Millis
TableWatch::ProofDue() const
{
  const Millis confirmed = mFreshness.At().value_or(Millis(0));
  const Millis due = confirmed + mProofAge;
  const bool wanted = mStoreTime && mWantedReading > *mStoreTime;
  return wanted
           ? std::min(
               due, confirmed + (mWantedReading - *mStoreTime) + kWantedMargin)
           : due;
}

void
TableWatch::Read()
{
  mPhase = Phase::ReadingTable;
  mPhaseEnds = Millis::Never();
  mFirstPage.reset();
  mHooks.mSendQuery(
    { .mKind = TableQuery::Kind::FullRead, .mTimeout = kAnswerSpan });
}

void
TableWatch::Follow()
{
  mPhase = Phase::Following;
  mPhaseEnds = Millis::Never();
  if (!mListening) {
    return;
  }
  mFeedAsked = true;
  mHooks.mSendQuery({ .mKind = TableQuery::Kind::Changes,
                      .mAfter = mVersion,
                      .mWait = mOptions.mWait,
                      .mTimeout = mOptions.mWait + kAnswerSpan });
}

void
TableWatch::Gather(Millis aNow)
{
  if (mOptions.mBatchDelay == Millis(0) || !mListening) {
    Follow();
    return;
  }
  mPhase = Phase::Gathering;
  mPhaseEnds = aNow + mOptions.mBatchDelay;
}

void
TableWatch::Abandon()
{
  mHooks.mCancelQueries();
  mFeedAsked = false;
  mProofAsked = false;
}

void
TableWatch::AskProof()
{
  mProofAsked = true;
  mHooks.mSendQuery({ .mKind = TableQuery::Kind::Verification,
                      .mAfter = mVersion,
                      .mTimeout = kAnswerSpan });
}

void
TableWatch::TakeVersions(const TableResponse& aAnswer)
{
  mVersion = std::max(mVersion, aAnswer.mVersion);
  if (aAnswer.mHasRows) {
    const uint64_t newest =
      aAnswer.mNewestRow > 0 ? aAnswer.mNewestRow : aAnswer.mVersion;
    mLastChange = std::max(mLastChange, newest);
  }
  if (!aAnswer.mHasMore) {
    Confirm(aAnswer);
  }
}

void
TableWatch::Confirm(const TableResponse& aAnswer)
{
  const Millis made = mClock.RespondedAt(aAnswer.mSentAt, aAnswer.mStoreTime);
  const Millis at = std::clamp(made, aAnswer.mSentAt, aAnswer.mReceivedAt);
  mStoreTime = aAnswer.mStoreTime;
  mFreshness.Confirm(at);
  mHooks.mOnConfirmed(at);
  DrawProofAge();
}

void
TableWatch::DrawProofAge()
{
  // Entries that hear each other do not all ask at once: the first one's
  // answer serves the others.
  std::uniform_int_distribution<int64_t> age(mOptions.mMaxAge.Count() / 2,
                                             mOptions.mMaxAge.Count());
  mProofAge = Millis(age(mRandom));
}

void
TableWatch::NoteBack()
{
  if (std::exchange(mFailures, 0) > 0) {
    mHooks.mOnRecovered();
  }
}

} // namespace trefoilarch
