#include "policylog.h"

#include "policycodec.h"

#include <algorithm>
#include <limits>

/**
 * The steps that a PolicyLog takes after each event: it resolves proposals,
 * reads and inserts rows and writes snapshots.
 */
namespace trefoilarch {

namespace {

constexpr unsigned kMaxDoublings = 10;
/** Delays are random between three and five quarters of their mean. */
constexpr int64_t kJitterDivisor = 4;

PolicyConflict
VoidedConflict(const PolicyState& aState, const std::string& aId)
{
  return { "change/" + aId, aState.mChangeIds.at(aId).mVersion, "" };
}

} // namespace

PolicyLogActions
PolicyLog::Advance(Millis aNow)
{
  PolicyLogActions out;
  AnnouncePolicy(out);
  AdvanceProposals(out, aNow);
  ExpireProposals(out, aNow);
  AdvanceRead(out, aNow);
  AdvanceSnapshot(out, aNow);
  return out;
}

void
PolicyLog::AnnouncePolicy(PolicyLogActions& aOut)
{
  if (mState.Version() != mAnnouncedVersion) {
    mAnnouncedVersion = mState.Version();
    aOut.push_back(PolicyAdopted{ mState.mPolicy });
  }
}

void
PolicyLog::ExpireProposals(PolicyLogActions& aOut, Millis aNow)
{
  std::deque<Proposal> kept;
  for (Proposal& proposal : mProposals) {
    if (proposal.mDeadline > aNow) {
      kept.push_back(std::move(proposal));
      continue;
    }
    const bool insertPending =
      mPendingInsert && proposal.mNumber == mPendingInsertProposal;
    const bool mayBeWritten = insertPending || proposal.mUnsettledVersion != 0;
    ProposalAnswer answer;
    answer.mOutcome =
      mayBeWritten ? ProposalOutcome::Unknown : ProposalOutcome::Unavailable;
    aOut.push_back(ProposalAnswered{ proposal.mNumber, std::move(answer) });
  }
  mProposals = std::move(kept);
}

void
PolicyLog::AdvanceProposals(PolicyLogActions& aOut, Millis aNow)
{
  while (!mProposals.empty() && !mPendingInsert && mProposals.front().mAtTail) {
    if (SettleHead(aOut) || AnswerQuery(aOut) || ValidateHead(aOut)) {
      continue;
    }
    if (mProposals.front().mDeadline <= aNow) {
      return;
    }
    InsertHead(aOut);
  }
}

/** Answers the head if the log contains it; returns whether it did. */
bool
PolicyLog::SettleHead(PolicyLogActions& aOut)
{
  Proposal& head = mProposals.front();
  if (head.mUnsettledVersion != 0 &&
      mState.Version() >= head.mUnsettledVersion) {
    head.mUnsettledVersion = 0;
  }
  const auto record = mState.mChangeIds.find(head.mChange.mId);
  if (head.mQueriedId || record == mState.mChangeIds.end()) {
    return false;
  }
  ProposalAnswer answer;
  if (record->second.mVoided) {
    answer.mOutcome = ProposalOutcome::Conflict;
    answer.mConflicts = { VoidedConflict(mState, head.mChange.mId) };
  } else {
    answer.mOutcome = ProposalOutcome::Accepted;
    answer.mVersion = record->second.mVersion;
  }
  AnswerHead(aOut, std::move(answer));
  return true;
}

bool
PolicyLog::AnswerQuery(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  if (!head.mQueriedId) {
    return false;
  }
  const ChangeStatus status = ChangeStatusOf(mState, *head.mQueriedId);
  if (status == ChangeStatus::NotSeen) {
    return false;
  }
  ProposalAnswer answer;
  answer.mOutcome = ProposalOutcome::NotAccepted;
  if (status == ChangeStatus::Accepted) {
    answer.mOutcome = ProposalOutcome::Accepted;
    answer.mVersion = mState.mChangeIds.at(*head.mQueriedId).mVersion;
  }
  AnswerHead(aOut, std::move(answer));
  return true;
}

bool
PolicyLog::ValidateHead(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  if (head.mUnsettledVersion != 0) {
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
 * So a write with an unknown outcome is repeated at its own version and never
 * at another: while that version is free, it follows the tail.
 */
void
PolicyLog::InsertHead(PolicyLogActions& aOut)
{
  const Proposal& head = mProposals.front();
  mPendingInsert = LogRow{ mState.Version() + 1, ChangeToJson(head.mChange) };
  mPendingInsertProposal = head.mNumber;
  aOut.push_back(InsertLogRow{ *mPendingInsert });
}

void
PolicyLog::AnswerHead(PolicyLogActions& aOut, ProposalAnswer aAnswer)
{
  const uint64_t number = mProposals.front().mNumber;
  mProposals.pop_front();
  aOut.push_back(ProposalAnswered{ number, std::move(aAnswer) });
}

bool
PolicyLog::IsReadDue(Millis aNow) const
{
  const bool requested = !mProposals.empty() && !mPendingInsert &&
                         !mProposals.front().mAtTail && mFailures == 0;
  return requested || mReadImmediately || aNow >= mNextReadAt;
}

void
PolicyLog::AdvanceRead(PolicyLogActions& aOut, Millis aNow)
{
  if (mReadPending || !IsReadDue(aNow)) {
    return;
  }
  if (mSource == Source::Peer && mPeerCount == 0) {
    mSource = Source::Rows;
    if (mTableFailed || mRowsMissing) {
      mSource =
        mRowsMissing || mState.Version() == 0 ? Source::Snapshot : Source::Rows;
      BackOff(aNow);
      return;
    }
  }
  mReadPending = true;
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
  if (!mProposals.empty() && !mPendingInsert) {
    mProposals.front().mReadRequested = true;
  }
}

void
PolicyLog::AdvanceSnapshot(PolicyLogActions& aOut, Millis aNow)
{
  if (mUnwrittenSnapshot && !mSnapshotWritePending && aNow >= mNextSnapshotAt) {
    mSnapshotWritePending = true;
    aOut.push_back(*mUnwrittenSnapshot);
  }
}

/** Returns false if the rows have a gap or can't be parsed. */
bool
PolicyLog::ApplyRows(const std::vector<LogRow>& aRows)
{
  for (const LogRow& row : aRows) {
    if (row.mVersion <= mState.Version()) {
      continue;
    }
    if (row.mVersion != mState.Version() + 1) {
      mRowsMissing = true;
      return false;
    }
    ParseResult<PolicyChange> result = ChangeFromJson(row.mText);
    if (!result.IsValid()) {
      mUnreadableRow = row.mVersion;
      return false;
    }
    ApplyLoggedChange({ row.mVersion, std::move(result.mValue) });
  }
  mRowsMissing = false;
  return true;
}

void
PolicyLog::ApplyLoggedChange(LoggedChange aLogged)
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
  ParseResult<PolicyState> result = StateFromJson(aText);
  if (!result.IsValid() || result.mValue.Version() <= mState.Version()) {
    return false;
  }
  mState = std::move(result.mValue);
  mRecent.clear();
  mRowsMissing = false;
  return true;
}

void
PolicyLog::OnTailReached(Millis aNow)
{
  mLoaded = true;
  mReadImmediately = false;
  mFailures = 0;
  mHighestVersionSeen = mState.Version();
  mSource = Source::Rows;
  const int64_t peers = static_cast<int64_t>(mPeerCount);
  mNextReadAt =
    aNow + WithJitter(std::max(mOptions.mPollInterval,
                               mOptions.mPollIntervalPerPeer * peers));
  if (!mProposals.empty() && mProposals.front().mReadRequested) {
    mProposals.front().mAtTail = true;
  }
}

void
PolicyLog::BackOff(Millis aNow)
{
  mReadImmediately = false;
  mNextReadAt = aNow + RetryDelay(mFailures++);
}

Millis
PolicyLog::WithJitter(Millis aMean)
{
  const int64_t quarter = std::max<int64_t>(1, aMean.Count() / kJitterDivisor);
  std::uniform_int_distribution<int64_t> draw(-quarter, quarter);
  return aMean + Millis(draw(mRandom));
}

Millis
PolicyLog::RetryDelay(unsigned aFailures)
{
  const int64_t factor = int64_t{ 1 } << std::min(aFailures, kMaxDoublings);
  return WithJitter(
    std::min(mOptions.mInitialRetryDelay * factor, mOptions.mMaxRetryDelay));
}

} // namespace trefoilarch
