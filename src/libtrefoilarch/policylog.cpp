#include "policylog.h"

#include "policycodec.h"

#include <algorithm>
#include <limits>

namespace trefoilarch {

namespace {

constexpr size_t kLongestVoided = 90;

/** The same in every process, and short enough for any id. */
std::string
VoidId(const std::string& aId)
{
  return "void-" + aId.substr(0, kLongestVoided);
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
  return Drive(aNow);
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
  return Drive(aNow);
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
  proposal.mAsksFor = std::move(aId);
  mProposals.push_back(std::move(proposal));
  return Drive(aNow);
}

PolicyLogActions
PolicyLog::OnRows(std::optional<std::vector<LogRow>> aRows, Millis aNow)
{
  mReading = false;
  mTableFailed = !aRows.has_value();
  if (!aRows) {
    mSource = Source::Peer;
    return Drive(aNow);
  }
  if (!Apply(*aRows)) {
    mSource = mBehind ? Source::Snapshot : Source::Rows;
    WaitAfterFailure(aNow);
  } else if (aRows->size() < mOptions.mReadLimit) {
    NoteTail(aNow);
  }
  return Drive(aNow);
}

PolicyLogActions
PolicyLog::OnSnapshot(const SnapshotReadResult& aFound, Millis aNow)
{
  mReading = false;
  const bool adopted =
    aFound.mReached && !aFound.mText.empty() && AdoptSnapshot(aFound.mText);
  if (adopted) {
    mSnapshotted = std::max(mSnapshotted, mState.Version());
  }
  mSource = mBehind ? Source::Peer : Source::Rows;
  return Drive(aNow);
}

PolicyLogActions
PolicyLog::OnPulled(std::optional<PolicyDelta> aDelta, Millis aNow)
{
  mReading = false;
  if (aDelta) {
    if (!aDelta->mSnapshotText.empty()) {
      AdoptSnapshot(aDelta->mSnapshotText);
    }
    Apply(aDelta->mRows);
  }
  const bool empty = mState.Version() == 0;
  mKnown = mKnown || !empty;
  mSource = mBehind || empty ? Source::Snapshot : Source::Rows;
  mEager = mSeen > mState.Version();
  if (mTableFailed || mBehind) {
    WaitAfterFailure(aNow);
  }
  return Drive(aNow);
}

PolicyLogActions
PolicyLog::OnVersionSeen(uint64_t aVersion, Millis aNow)
{
  if (aVersion <= std::max(mSeen, mState.Version())) {
    return {};
  }
  mSeen = aVersion;
  mEager = true;
  if (!mReading && mSource == Source::Rows) {
    mSource = Source::Peer;
  }
  return Drive(aNow);
}

PolicyLogActions
PolicyLog::OnInserted(InsertOutcome aEnd, Millis aNow)
{
  PolicyLogActions out;
  const LogRow row = std::move(*mInserting);
  mInserting.reset();
  const bool ours =
    !mProposals.empty() && mProposals.front().mNumber == mInsertingFor;
  if (aEnd == InsertOutcome::Inserted) {
    Apply({ row });
    Announce(out);
    if (mState.Version() == row.mVersion &&
        row.mVersion / mOptions.mSnapshotEvery >
          mSnapshotted / mOptions.mSnapshotEvery) {
      mSnapshotDue = WriteSnapshot{ row.mVersion, StateToJson(mState) };
    }
  }
  if (ours) {
    Proposal& head = mProposals.front();
    head.mReadAsked = false;
    head.mFresh = aEnd == InsertOutcome::Inserted;
    if (aEnd == InsertOutcome::Unknown) {
      head.mUnsettledAt = row.mVersion;
    }
    if (aEnd == InsertOutcome::Inserted) {
      head.mUnsettledAt = 0;
    }
  }
  if (aEnd == InsertOutcome::Unknown || aEnd == InsertOutcome::NotSent) {
    WaitAfterFailure(aNow);
  }
  const PolicyLogActions more = Drive(aNow);
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

PolicyLogActions
PolicyLog::OnSnapshotWritten(bool aWritten, Millis aNow)
{
  PolicyLogActions out;
  mSnapshotWriting = false;
  if (!aWritten) {
    mNextSnapshot = aNow + RetrySpan(mSnapshotFailures++);
    return Drive(aNow);
  }
  const uint64_t version = mSnapshotDue->mVersion;
  mSnapshotFailures = 0;
  mSnapshotted = std::max(mSnapshotted, version);
  mSnapshotDue.reset();
  if (version > mOptions.mRetainedRows) {
    const uint64_t below = version - mOptions.mRetainedRows;
    out.push_back(CompactLog{ below, version - mOptions.mRetainedChanges });
  }
  const PolicyLogActions more = Drive(aNow);
  out.insert(out.end(), more.begin(), more.end());
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
  Millis wake = mReading ? Millis::Never() : mNextRead;
  if (mSnapshotDue && !mSnapshotWriting) {
    wake = std::min(wake, mNextSnapshot);
  }
  for (const Proposal& proposal : mProposals) {
    wake = std::min(wake, proposal.mDeadline);
  }
  return wake;
}

} // namespace trefoilarch
