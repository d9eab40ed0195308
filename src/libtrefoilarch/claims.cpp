#include "claims.h"

#include <algorithm>
#include <limits>

namespace trefoilarch {

namespace {

constexpr unsigned kMaxDoublings = 8;
/**
 * The entries' clocks may differ by one epoch, and each also reads the next
 * epoch.
 */
constexpr uint64_t kRetainedEpochs = 2;

ClaimOutcome
OutcomeOf(ClaimStatus aStatus)
{
  switch (aStatus) {
    case ClaimStatus::InProgress:
      return ClaimOutcome::InProgress;
    case ClaimStatus::Finished:
      return ClaimOutcome::Finished;
    case ClaimStatus::MaybeRan:
    case ClaimStatus::NotKnown:
    case ClaimStatus::NotRun:
      break;
  }
  return ClaimOutcome::MaybeRan;
}

} // namespace

Claims::Claims(ClaimOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(
      mOptions.mSeed % std::numeric_limits<uint32_t>::max() + 1))
{
}

ClaimActions
Claims::Claim(ClaimRequest aRequest, int64_t aUnixSeconds, Millis aNow)
{
  const std::optional<ClaimDecided> decided = DecideLocally(aRequest);
  ClaimActions out;
  if (decided) {
    out.emplace_back(*decided);
    return out;
  }
  const RequestId id = aRequest.mId;
  mByKey[aRequest.mKey] = id;
  mRecords[id] = { .mKey = std::move(aRequest.mKey),
                   .mFingerprint = std::move(aRequest.mFingerprint),
                   .mAnswer = nullptr };
  mUndecided[id] = { .mDeadline = aNow + mOptions.mDecisionTimeout,
                     .mReplaces = std::nullopt };
  mWaiting.push_back(id);
  Advance(out, aUnixSeconds, aNow);
  return out;
}

/** Decides a repeat whose first request is known in this process. */
std::optional<ClaimDecided>
Claims::DecideLocally(const ClaimRequest& aRequest) const
{
  const auto first = mByKey.find(aRequest.mKey);
  if (first == mByKey.end()) {
    return std::nullopt;
  }
  const Record& record = mRecords.at(first->second);
  if (record.mStatus == ClaimStatus::NotRun) {
    return std::nullopt;
  }
  if (record.mFingerprint != aRequest.mFingerprint) {
    return ClaimDecided{ aRequest.mId, ClaimOutcome::OtherIntent, nullptr };
  }
  return ClaimDecided{ aRequest.mId,
                       OutcomeOf(record.mStatus),
                       record.mAnswer };
}

void
Claims::Answered(RequestId aId, CachedAnswer aAnswer)
{
  const auto record = mRecords.find(aId);
  if (record == mRecords.end()) {
    return;
  }
  const size_t bytes = aAnswer.mBody.size();
  if (bytes <= mOptions.mMaxCachedAnswerSize) {
    record->second.mAnswer =
      std::make_shared<const CachedAnswer>(std::move(aAnswer));
    mCachedBytes += bytes;
    mCached.push_back(aId);
  }
  while (mCachedBytes > mOptions.mMaxCachedBytes) {
    const auto oldest = mRecords.find(mCached.front());
    mCached.pop_front();
    if (oldest != mRecords.end()) {
      DropAnswer(oldest->second);
    }
  }
  Finish(aId, ClaimStatus::Finished);
}

void
Claims::AnsweredUncached(RequestId aId)
{
  Finish(aId, ClaimStatus::Finished);
}

void
Claims::NotRun(RequestId aId)
{
  Finish(aId, ClaimStatus::NotRun);
}

void
Claims::MaybeRan(RequestId aId)
{
  Finish(aId, ClaimStatus::MaybeRan);
}

void
Claims::Finish(RequestId aId, ClaimStatus aStatus)
{
  const auto record = mRecords.find(aId);
  if (record == mRecords.end() ||
      record->second.mStatus != ClaimStatus::InProgress) {
    return;
  }
  record->second.mStatus = aStatus;
  Remember(aId);
}

/** Beyond the limit, the request that ended first is dropped. */
void
Claims::Remember(RequestId aId)
{
  mEnded.push_back(aId);
  if (mEnded.size() <= mOptions.mMaxRemembered) {
    return;
  }
  const auto oldest = mRecords.find(mEnded.front());
  mEnded.pop_front();
  if (oldest == mRecords.end()) {
    return;
  }
  DropAnswer(oldest->second);
  const auto newest = mByKey.find(oldest->second.mKey);
  if (newest != mByKey.end() && newest->second == oldest->first) {
    mByKey.erase(newest);
  }
  mRecords.erase(oldest);
}

void
Claims::DropAnswer(Record& aRecord)
{
  if (aRecord.mAnswer) {
    mCachedBytes -= aRecord.mAnswer->mBody.size();
    aRecord.mAnswer.reset();
  }
}

ClaimActions
Claims::OnCommitted(ClaimCommit aCommit, int64_t aUnixSeconds, Millis aNow)
{
  ClaimActions out;
  const std::vector<RequestId> batch = std::move(mCommitting);
  mCommitting.clear();
  mFailures =
    aCommit.mOutcome == ClaimCommitOutcome::Unknown ? mFailures + 1 : 0;
  if (aCommit.mOutcome == ClaimCommitOutcome::Unknown) {
    mNextCommit = aNow + RetryDelay();
  }
  for (size_t index = 0; index < batch.size(); ++index) {
    const RequestId id = batch[index];
    const bool found = aCommit.mOutcome == ClaimCommitOutcome::Refused &&
                       index < aCommit.mFound.size() &&
                       aCommit.mFound[index].has_value();
    if (!mUndecided.contains(id)) {
      continue; // it timed out and will not run
    }
    if (aCommit.mOutcome == ClaimCommitOutcome::Done) {
      Decide(out, id, ClaimOutcome::Run);
    } else if (found) {
      ResolveFoundRow(out, id, *aCommit.mFound[index]);
    } else {
      if (aCommit.mOutcome == ClaimCommitOutcome::Refused) {
        mUndecided.at(id).mReplaces.reset();
      }
      mWaiting.push_back(id);
    }
  }
  Advance(out, aUnixSeconds, aNow);
  return out;
}

/**
 * The key has a row: of this request, of another request of this entry, or of
 * another entry.
 */
void
Claims::ResolveFoundRow(ClaimActions& aOut,
                        RequestId aId,
                        const FoundClaim& aFound)
{
  Pending& undecided = mUndecided.at(aId);
  if (undecided.mReplaces && *undecided.mReplaces == aFound) {
    mWaiting.push_back(aId); // refused because of another write in the batch
    return;
  }
  const std::optional<ClaimRow> row = ClaimRowFromText(aFound.mText);
  if (!row) {
    Decide(aOut, aId, ClaimOutcome::MaybeRan);
  } else if (row->mRequest == aId) {
    Decide(aOut, aId, ClaimOutcome::Run);
  } else if (row->mFingerprint != mRecords.at(aId).mFingerprint) {
    Decide(aOut, aId, ClaimOutcome::OtherIntent);
  } else if (row->mAddress == mOptions.mAddress) {
    ApplyReport(aOut, aId, aFound, Report(row->mRequest));
  } else {
    undecided.mQueryOpen = true;
    mOpenQueries[++mLastTicket] = { aId, aFound };
    aOut.push_back(QueryClaimant{ mLastTicket, row->mAddress, row->mRequest });
  }
}

void
Claims::ApplyReport(ClaimActions& aOut,
                    RequestId aId,
                    const FoundClaim& aFound,
                    const ClaimReport& aReport)
{
  if (aReport.mStatus == ClaimStatus::NotRun) {
    mUndecided.at(aId).mReplaces = aFound;
    mWaiting.push_back(aId);
    return;
  }
  Decide(aOut, aId, OutcomeOf(aReport.mStatus), aReport.mAnswer);
}

ClaimActions
Claims::OnClaimantReport(uint64_t aTicket,
                         const ClaimReport& aReport,
                         int64_t aUnixSeconds,
                         Millis aNow)
{
  ClaimActions out;
  const auto query = mOpenQueries.find(aTicket);
  if (query != mOpenQueries.end()) {
    const auto [id, found] = std::move(query->second);
    mOpenQueries.erase(query);
    const auto undecided = mUndecided.find(id);
    if (undecided != mUndecided.end()) {
      undecided->second.mQueryOpen = false;
      ApplyReport(out, id, found, aReport);
    }
  }
  Advance(out, aUnixSeconds, aNow);
  return out;
}

ClaimActions
Claims::OnTick(int64_t aUnixSeconds, Millis aNow)
{
  ClaimActions out;
  Advance(out, aUnixSeconds, aNow);
  return out;
}

ClaimReport
Claims::Report(RequestId aId) const
{
  const auto record = mRecords.find(aId);
  if (record == mRecords.end()) {
    return {};
  }
  return { record->second.mStatus, record->second.mAnswer };
}

Millis
Claims::NextWake() const
{
  Millis wake = Millis::Never();
  if (mCommitting.empty() && !mWaiting.empty()) {
    wake = mNextCommit;
  }
  for (const auto& [id, undecided] : mUndecided) {
    wake = std::min(wake, undecided.mDeadline);
  }
  return wake;
}

void
Claims::Advance(ClaimActions& aOut, int64_t aUnixSeconds, Millis aNow)
{
  ExpireUndecided(aOut, aNow);
  Commit(aOut, aUnixSeconds, aNow);
  Expire(aOut, aUnixSeconds);
}

/** A request whose claim is not decided in time never runs. */
void
Claims::ExpireUndecided(ClaimActions& aOut, Millis aNow)
{
  std::vector<RequestId> lateIds;
  for (const auto& [id, undecided] : mUndecided) {
    if (undecided.mDeadline <= aNow) {
      lateIds.push_back(id);
    }
  }
  for (const RequestId id : lateIds) {
    const bool queryOpen = mUndecided.at(id).mQueryOpen;
    Decide(
      aOut, id, queryOpen ? ClaimOutcome::MaybeRan : ClaimOutcome::Unsettled);
  }
}

void
Claims::Decide(ClaimActions& aOut,
               RequestId aId,
               ClaimOutcome aOutcome,
               std::shared_ptr<const CachedAnswer> aAnswer)
{
  mUndecided.erase(aId);
  if (aOutcome != ClaimOutcome::Run) {
    NotRun(aId);
  }
  aOut.push_back(ClaimDecided{ aId, aOutcome, std::move(aAnswer) });
}

/** Writes all waiting claims in one transaction (group commit). */
void
Claims::Commit(ClaimActions& aOut, int64_t aUnixSeconds, Millis aNow)
{
  if (!mCommitting.empty() || aNow < mNextCommit) {
    return;
  }
  CommitClaims commit;
  while (!mWaiting.empty() && mCommitting.size() < mOptions.mMaxBatchSize) {
    const RequestId id = mWaiting.front();
    mWaiting.pop_front();
    const auto undecided = mUndecided.find(id);
    if (undecided == mUndecided.end()) {
      continue;
    }
    const Record& record = mRecords.at(id);
    const ClaimRow row{ id, mOptions.mAddress, record.mFingerprint };
    commit.mWrites.push_back({ record.mKey,
                               EpochOf(aUnixSeconds),
                               ClaimRowToText(row),
                               undecided->second.mReplaces });
    mCommitting.push_back(id);
  }
  if (!mCommitting.empty()) {
    aOut.push_back(std::move(commit));
  }
}

void
Claims::Expire(ClaimActions& aOut, int64_t aUnixSeconds)
{
  const uint64_t epoch = EpochOf(aUnixSeconds);
  if (epoch <= kRetainedEpochs || epoch - kRetainedEpochs <= mExpiredBelow) {
    return;
  }
  mExpiredBelow = epoch - kRetainedEpochs;
  aOut.push_back(ExpireClaims{ mExpiredBelow });
}

uint64_t
Claims::EpochOf(int64_t aUnixSeconds) const
{
  return static_cast<uint64_t>(
    std::max<int64_t>(1, aUnixSeconds / mOptions.mEpochSeconds));
}

Millis
Claims::RetryDelay()
{
  const int64_t factor = int64_t{ 1 } << std::min(mFailures, kMaxDoublings);
  const Millis maxDelay =
    std::min(mOptions.mInitialRetryDelay * factor, mOptions.mMaxRetryDelay);
  std::uniform_int_distribution<int64_t> jitter(maxDelay.Count() / 2,
                                                maxDelay.Count());
  return Millis(jitter(mRandom));
}

} // namespace trefoilarch
