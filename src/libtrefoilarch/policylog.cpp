#include "policylog.h"

#include "policycodec.h"

#include <algorithm>
#include <limits>

namespace trefoilarch {

namespace {

constexpr size_t kMaxVoidedIdLength = 90;

/**
 * The id of the change that voids aId: equal in all processes, and truncated
 * to the maximum length of an id.
 */
std::string
VoidId(const std::string& aId)
{
  return "void-" + aId.substr(0, kMaxVoidedIdLength);
}

} // namespace

PolicyLog::PolicyLog(PolicyLogOptions aOptions)
  : mOptions(aOptions)
  , mRandom(static_cast<std::minstd_rand::result_type>(
      aOptions.mSeed % std::numeric_limits<uint32_t>::max() + 1))
{
}

PolicyLogActions
PolicyLog::OnTick(Millis aNow)
{
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::Propose(uint64_t aProposal,
                   PolicyChange aChange,
                   Millis aDeadline,
                   Millis aNow)
{
  if (mProposals.size() >= mOptions.mMaxProposals) {
    return { ProposalAnswered{ aProposal, {} } };
  }
  Proposal proposal;
  proposal.mNumber = aProposal;
  proposal.mChange = std::move(aChange);
  proposal.mDeadline = aDeadline;
  mProposals.push_back(std::move(proposal));
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::QueryChange(uint64_t aProposal,
                       std::string aId,
                       Millis aDeadline,
                       Millis aNow)
{
  if (mProposals.size() >= mOptions.mMaxProposals) {
    return { ProposalAnswered{ aProposal, {} } };
  }
  Proposal proposal;
  proposal.mNumber = aProposal;
  proposal.mChange.mId = VoidId(aId);
  proposal.mChange.mOperations = { VoidChange{ aId } };
  proposal.mDeadline = aDeadline;
  proposal.mQueriedId = std::move(aId);
  mProposals.push_back(std::move(proposal));
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::OnRows(std::optional<std::vector<LogRow>> aRows, Millis aNow)
{
  mReadPending = false;
  mTableFailed = !aRows.has_value();
  if (!aRows) {
    mSource = Source::Peer;
    return Advance(aNow);
  }
  if (!ApplyRows(*aRows)) {
    mSource = mRowsMissing ? Source::Snapshot : Source::Rows;
    BackOff(aNow);
  } else if (aRows->size() < mOptions.mReadLimit) {
    OnTailReached(aNow);
  }
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::OnSnapshot(const SnapshotReadResult& aResult, Millis aNow)
{
  mReadPending = false;
  const bool isAdopted =
    aResult.mReached && !aResult.mText.empty() && AdoptSnapshot(aResult.mText);
  if (isAdopted) {
    mNewestSnapshotVersion = std::max(mNewestSnapshotVersion, mState.Version());
  }
  mSource = mRowsMissing ? Source::Peer : Source::Rows;
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::OnPulled(std::optional<PolicyDelta> aDelta, Millis aNow)
{
  mReadPending = false;
  if (aDelta) {
    if (!aDelta->mSnapshotText.empty()) {
      AdoptSnapshot(aDelta->mSnapshotText);
    }
    ApplyRows(aDelta->mRows);
  }
  const bool empty = mState.Version() == 0;
  mLoaded = mLoaded || !empty;
  mSource = mRowsMissing || empty ? Source::Snapshot : Source::Rows;
  mReadImmediately = mHighestVersionSeen > mState.Version();
  if (mTableFailed || mRowsMissing) {
    BackOff(aNow);
  }
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::OnVersionSeen(uint64_t aVersion, Millis aNow)
{
  if (aVersion <= std::max(mHighestVersionSeen, mState.Version())) {
    return {};
  }
  mHighestVersionSeen = aVersion;
  mReadImmediately = true;
  if (!mReadPending && mSource == Source::Rows) {
    mSource = Source::Peer;
  }
  return Advance(aNow);
}

PolicyLogActions
PolicyLog::OnInserted(InsertOutcome aOutcome, Millis aNow)
{
  PolicyLogActions out;
  const LogRow row = std::move(*mPendingInsert);
  mPendingInsert.reset();
  const bool isHead =
    !mProposals.empty() && mProposals.front().mNumber == mPendingInsertProposal;
  if (aOutcome == InsertOutcome::Inserted) {
    ApplyRows({ row });
    AnnouncePolicy(out);
    if (mState.Version() == row.mVersion &&
        row.mVersion / mOptions.mSnapshotEvery >
          mNewestSnapshotVersion / mOptions.mSnapshotEvery) {
      mUnwrittenSnapshot = WriteSnapshot{ row.mVersion, StateToJson(mState) };
    }
  }
  if (isHead) {
    Proposal& head = mProposals.front();
    head.mReadRequested = false;
    head.mAtTail = aOutcome == InsertOutcome::Inserted;
    if (aOutcome == InsertOutcome::Unknown) {
      head.mUnsettledVersion = row.mVersion;
    }
    if (aOutcome == InsertOutcome::Inserted) {
      head.mUnsettledVersion = 0;
    }
  }
  if (aOutcome == InsertOutcome::Unknown ||
      aOutcome == InsertOutcome::NotSent) {
    BackOff(aNow);
  }
  const PolicyLogActions further = Advance(aNow);
  out.insert(out.end(), further.begin(), further.end());
  return out;
}

PolicyLogActions
PolicyLog::OnSnapshotWritten(bool aWritten, Millis aNow)
{
  PolicyLogActions out;
  mSnapshotWritePending = false;
  if (!aWritten) {
    mNextSnapshotAt = aNow + RetryDelay(mSnapshotFailures++);
    return Advance(aNow);
  }
  const uint64_t version = mUnwrittenSnapshot->mVersion;
  mSnapshotFailures = 0;
  mNewestSnapshotVersion = std::max(mNewestSnapshotVersion, version);
  mUnwrittenSnapshot.reset();
  if (version > mOptions.mRetainedRows) {
    const uint64_t below = version - mOptions.mRetainedRows;
    out.push_back(CompactLog{ below, version - mOptions.mRetainedChanges });
  }
  const PolicyLogActions further = Advance(aNow);
  out.insert(out.end(), further.begin(), further.end());
  return out;
}

PolicyDelta
PolicyLog::DeltaAfter(uint64_t aAfter) const
{
  PolicyDelta delta;
  if (aAfter >= mState.Version()) {
    return delta;
  }
  if (mRecent.empty() || mRecent.front().mVersion > aAfter + 1) {
    delta.mSnapshotVersion = mState.Version();
    delta.mSnapshotText = StateToJson(mState);
    return delta;
  }
  for (const LoggedChange& logged : mRecent) {
    if (logged.mVersion > aAfter) {
      delta.mRows.push_back({ logged.mVersion, ChangeToJson(logged.mChange) });
    }
  }
  return delta;
}

Millis
PolicyLog::NextWake() const
{
  Millis wake = mReadPending ? Millis::Never() : mNextReadAt;
  if (mUnwrittenSnapshot && !mSnapshotWritePending) {
    wake = std::min(wake, mNextSnapshotAt);
  }
  for (const Proposal& proposal : mProposals) {
    wake = std::min(wake, proposal.mDeadline);
  }
  return wake;
}

} // namespace trefoilarch
