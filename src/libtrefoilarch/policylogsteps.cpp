#include "policylog.h"

#include "policycodec.h"

#include <algorithm>
#include <limits>

/** What a PolicyLog does of its own accord after each event: settles
 * proposals, reads, inserts and takes snapshots. */
namespace trefoilarch {

namespace {

constexpr unsigned kMostDoublings = 10;
/** Spans are drawn between three and five quarters of their mean. */
constexpr int64_t kJitterParts = 4;

PolicyConflict
VoidedConflict(const PolicyState& aState, const std::string& aId)
{
  return { "change/" + aId, aState.mChangeIds.at(aId).mVersion, "" };
}

} // namespace

PolicyLogActions
PolicyLog::Drive(Millis aNow)
{
  PolicyLogActions out;
  Announce(out);
  DriveProposals(out, aNow);
  DropLate(out, aNow);
  DriveReading(out, aNow);
  DriveSnapshot(out, aNow);
  return out;
}

void
PolicyLog::Announce(PolicyLogActions& aOut)
{
  if (mState.Version() != mAnnounced) {
    mAnnounced = mState.Version();
    aOut.push_back(PolicyAdopted{ mState.mPolicy });
  }
}

void
PolicyLog::DropLate(PolicyLogActions& aOut, Millis aNow)
{
  std::deque<Proposal> kept;
  for (Proposal& proposal : mProposals) {
    if (proposal.mDeadline > aNow) {
      kept.push_back(std::move(proposal));
      continue;
    }
    const bool writing = mInserting && proposal.mNumber == mInsertingFor;
    const bool unknown = writing || proposal.mUnsettledAt != 0;
    ProposalAnswer answer;
    answer.mOutcome =
      unknown ? ProposalOutcome::Unknown : ProposalOutcome::Unavailable;
    aOut.push_back(ProposalAnswered{ proposal.mNumber, std::move(answer) });
  }
  mProposals = std::move(kept);
}

void
PolicyLog::DriveProposals(PolicyLogActions& aOut, Millis aNow)
{
  while (!mProposals.empty() && !mInserting && mProposals.front().mFresh) {
    if (Settle(aOut) || JudgeQuestion(aOut) || Judge(aOut)) {
      continue;
    }
    if (mProposals.front().mDeadline <= aNow) {
      return;
    }
    Insert(aOut);
  }
}

/** Whether the head was answered, by what its unsettled write has become. */
bool
PolicyLog::Settle(PolicyLogActions& aOut)
{
  Proposal& head = mProposals.front();
  if (head.mUnsettledAt != 0 && mState.Version() >= head.mUnsettledAt) {
    head.mUnsettledAt = 0;
  }
  const auto mark = mState.mChangeIds.find(head.mChange.mId);
  if (head.mAsksFor || mark == mState.mChangeIds.end()) {
    return false;
  }
  ProposalAnswer answer;
  if (mark->second.mVoided) {
    answer.mOutcome = ProposalOutcome::Conflict;
    answer.mConflicts = { VoidedConflict(mState, head.mChange.mId) };
  } else {
    answer.mOutcome = ProposalOutcome::Accepted;
    answer.mVersion = mark->second.mVersion;
  }
  AnswerHead(aOut, std::move(answer));
  return true;
}

bool
PolicyLog::JudgeQuestion(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  if (!head.mAsksFor) {
    return false;
  }
  const ChangeStatus standing = ChangeStatusOf(mState, *head.mAsksFor);
  if (standing == ChangeStatus::NotSeen) {
    return false;
  }
  ProposalAnswer answer;
  answer.mOutcome = ProposalOutcome::NotAccepted;
  if (standing == ChangeStatus::Accepted) {
    answer.mOutcome = ProposalOutcome::Accepted;
    answer.mVersion = mState.mChangeIds.at(*head.mAsksFor).mVersion;
  }
  AnswerHead(aOut, std::move(answer));
  return true;
}

bool
PolicyLog::Judge(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  if (head.mUnsettledAt != 0) {
    return false;
  }
  ChangeOutcome outcome = ApplyChange(mState, head.mChange);
  if (outcome.IsValid()) {
    return false;
  }
  ProposalAnswer answer;
  answer.mOutcome = outcome.mConflicts.empty() ? ProposalOutcome::Invalid
                                               : ProposalOutcome::Conflict;
  answer.mFaults = std::move(outcome.mFaults);
  answer.mConflicts = std::move(outcome.mConflicts);
  AnswerHead(aOut, std::move(answer));
  return true;
}

/**
 * An unsettled write is thereby repeated in its own place, never in another
 * one: while that place is free, it is the one after the tail.
 */
void
PolicyLog::Insert(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  mInserting = LogRow{ mState.Version() + 1, ChangeToJson(head.mChange) };
  mInsertingFor = head.mNumber;
  aOut.push_back(InsertLogRow{ *mInserting });
}

void
PolicyLog::AnswerHead(PolicyLogActions& aOut, ProposalAnswer aAnswer)
{
  const uint64_t number = mProposals.front().mNumber;
  mProposals.pop_front();
  aOut.push_back(ProposalAnswered{ number, std::move(aAnswer) });
}

bool
PolicyLog::WantsRead(Millis aNow) const
{
  const bool asked = !mProposals.empty() && !mInserting &&
                     !mProposals.front().mFresh && mFailures == 0;
  return asked || mEager || aNow >= mNextRead;
}

void
PolicyLog::DriveReading(PolicyLogActions& aOut, Millis aNow)
{
  if (mReading || !WantsRead(aNow)) {
    return;
  }
  if (mSource == Source::Peer && mPeers == 0) {
    mSource = Source::Rows;
    if (mTableFailed || mBehind) {
      mSource =
        mBehind || mState.Version() == 0 ? Source::Snapshot : Source::Rows;
      WaitAfterFailure(aNow);
      return;
    }
  }
  mReading = true;
  switch (mSource) {
    case Source::Snapshot:
      aOut.push_back(ReadSnapshot{});
      return;
    case Source::Peer:
      aOut.push_back(PullFromPeer{ mState.Version() });
      return;
    case Source::Rows:
      aOut.push_back(ReadLog{ mState.Version(), mOptions.mReadLimit });
      break;
  }
  if (!mProposals.empty() && !mInserting) {
    mProposals.front().mReadAsked = true;
  }
}

void
PolicyLog::DriveSnapshot(PolicyLogActions& aOut, Millis aNow)
{
  if (mSnapshotDue && !mSnapshotWriting && aNow >= mNextSnapshot) {
    mSnapshotWriting = true;
    aOut.push_back(*mSnapshotDue);
  }
}

/** False where the rows do not follow on what is here, or cannot be read. */
bool
PolicyLog::Apply(const std::vector<LogRow>& aRows)
{
  for (const LogRow& row : aRows) {
    if (row.mVersion <= mState.Version()) {
      continue;
    }
    if (row.mVersion != mState.Version() + 1) {
      mBehind = true;
      return false;
    }
    ParseResult<PolicyChange> reading = ChangeFromJson(row.mText);
    if (!reading.IsValid()) {
      mUnreadableRow = row.mVersion;
      return false;
    }
    ApplyOne({ row.mVersion, std::move(reading.mValue) });
  }
  mBehind = false;
  return true;
}

void
PolicyLog::ApplyOne(LoggedChange aLogged)
{
  mState = ApplyLogged(mState, aLogged);
  mRecent.push_back(std::move(aLogged));
  if (mRecent.size() > mOptions.mRetainedChanges) {
    mRecent.pop_front();
  }
}

bool
PolicyLog::AdoptSnapshot(const std::string& aText)
{
  ParseResult<PolicyState> reading = StateFromJson(aText);
  if (!reading.IsValid() || reading.mValue.Version() <= mState.Version()) {
    return false;
  }
  mState = std::move(reading.mValue);
  mRecent.clear();
  mBehind = false;
  return true;
}

void
PolicyLog::NoteTail(Millis aNow)
{
  mKnown = true;
  mEager = false;
  mFailures = 0;
  mSeen = mState.Version();
  mSource = Source::Rows;
  const int64_t peers = static_cast<int64_t>(mPeers);
  mNextRead = aNow + Jittered(std::max(mOptions.mPollInterval,
                                       mOptions.mPollIntervalPerPeer * peers));
  if (!mProposals.empty() && mProposals.front().mReadAsked) {
    mProposals.front().mFresh = true;
  }
}

void
PolicyLog::WaitAfterFailure(Millis aNow)
{
  mEager = false;
  mNextRead = aNow + RetrySpan(mFailures++);
}

Millis
PolicyLog::Jittered(Millis aSpan)
{
  const int64_t quarter = std::max<int64_t>(1, aSpan.Count() / kJitterParts);
  std::uniform_int_distribution<int64_t> draw(-quarter, quarter);
  return aSpan + Millis(draw(mRandom));
}

Millis
PolicyLog::RetrySpan(unsigned aFailures)
{
  const int64_t factor = int64_t{ 1 } << std::min(aFailures, kMostDoublings);
  return Jittered(
    std::min(mOptions.mInitialRetryDelay * factor, mOptions.mMaxRetryDelay));
}

} // namespace trefoilarch
