#include "sidecarimpl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoilarch {

namespace {

/**
 * Allowed times in tenths of the targets. A target holds for nearly all tokens,
 * while the limit follows the mean.
 */
constexpr int64_t kFirstTokenTenths = 3;
constexpr int64_t kBetweenTokensTenths = 9;
constexpr int64_t kTenths = 10;
/** A long prompt may take this many times its best measured time. */
constexpr int64_t kPrefillTolerance = 2;
/**
 * Only classes within this multiple of the strictest target affect the allowed
 * first-token time.
 */
constexpr int64_t kStrictTargetFactor = 2;

/**
 * A response that exceeds its estimate is assumed to grow by this fraction of
 * its current length.
 */
constexpr uint64_t kGrowthDivisor = 2;
constexpr uint64_t kMinGrowth = 16;

/** An attempt may always hold that many bytes of its response. */
constexpr size_t kSmallAnswerBytes = 65536;

/** Such an attempt is recorded as voided: it did not run and will not. */
bool
NeverRan(const FinalMessage& aMessage)
{
  const auto* failed = std::get_if<Failed>(&aMessage);
  return failed && failed->mRan == Ran::No;
}

} // namespace

void
SidecarCore::Impl::OnCall(CallEvent aEvent)
{
  std::visit([&](auto& aTyped) { Handle(aTyped); }, aEvent);
}

void
SidecarCore::Impl::Handle(CallHead& aHead)
{
  SidecarAttempt* attempt = FindRunning(aHead.mKey);
  if (!attempt) {
    return;
  }
  mPause.OnStarted(attempt->mGrantedAt);
  attempt->mHeadPending = true;
  attempt->mStatus = aHead.mStatus;
  attempt->mHeaders = std::move(aHead.mHeaders);
}

void
SidecarCore::Impl::Handle(CallData& aData)
{
  SidecarAttempt* attempt = FindRunning(aData.mKey);
  if (!attempt) {
    return;
  }
  const size_t bytes = attempt->mAnswer.Bytes() + aData.mData.size();
  if (!MayHold(bytes)) {
    return Cancel(*attempt, ErrorKind::AnswerCut);
  }
  mCapacity.OnReached();
  mPreemption.Remove(aData.mKey);
  MeasureTokens(*attempt, aData.mTokens);
  AppendChunk(*attempt, std::move(aData.mData), aData.mTokens);
}

bool
SidecarCore::Impl::MayHold(size_t aBytes) const
{
  if (aBytes > mOptions.mAnswerLimit) {
    return false;
  }
  if (aBytes <= kSmallAnswerBytes) {
    return true;
  }
  size_t total = 0;
  for (const auto& [key, attempt] : mAttempts) {
    total += attempt.mAnswer.Bytes();
  }
  return aBytes + total <= mOptions.mTotalAnswerLimit;
}

void
SidecarCore::Impl::MeasureTokens(SidecarAttempt& aAttempt, uint32_t aTokens)
{
  if (mOptions.mTokenStream && aTokens == 0) {
    return;
  }
  if (aAttempt.mLastTokenAt == Millis()) {
    MeasureFirstToken(aAttempt, mNow - aAttempt.mStartedAt);
    CapacityShare prefilled = aAttempt.mShare;
    prefilled.mPrefill = 0;
    ChangeShare(aAttempt, prefilled);
  } else if (mOptions.mTokenStream) {
    MeasureBetweenTokens(aAttempt, aTokens);
  }
  aAttempt.mLastTokenAt = mNow;
  aAttempt.mGeneratedTokens += aTokens;
  GrowIfUnderestimated(aAttempt);
  mCapacity.Adapt(mNow);
}

void
SidecarCore::Impl::MeasureFirstToken(const SidecarAttempt& aAttempt,
                                     Millis aDuration)
{
  const Offer& offer = aAttempt.mOffer;
  mRate.OnFirstToken(offer.mPromptTokens, aAttempt.mPrefillAhead, aDuration);
  const Millis strictest = mStrictestFirstToken.Value();
  if (offer.mLevel.mFirstTokenTarget > strictest * kStrictTargetFactor) {
    return;
  }
  const Millis ownPrefill =
    mRate.BestPrefillTime(offer.mPromptTokens) * kPrefillTolerance;
  const Millis targetPart =
    mOptions.mTokenStream ? strictest * kFirstTokenTenths / kTenths : strictest;
  const auto allowed = static_cast<double>(
    std::max({ targetPart, ownPrefill, Millis(1) }).Count());
  const Millis prefill = mRate.BestPrefillTime(aAttempt.mPrefillAhead);
  const Millis step(std::llround(mRate.BetweenTokens(mNow)));
  mCapacity.OnFirstToken(static_cast<double>(aDuration.Count()) / allowed,
                         aDuration <= prefill * kPrefillTolerance + step);
}

void
SidecarCore::Impl::MeasureBetweenTokens(const SidecarAttempt& aAttempt,
                                        uint32_t aTokens)
{
  const Millis duration = mNow - aAttempt.mLastTokenAt;
  const Millis target =
    mStrictestBetweenTokens.Value() * kBetweenTokensTenths / kTenths;
  const Millis allowed = std::max(target, Millis(1)) * aTokens;
  mRate.OnTokens(aTokens, duration, mNow);
  mCapacity.OnBetweenTokens(static_cast<double>(duration.Count()) /
                              static_cast<double>(allowed.Count()),
                            aTokens);
}

void
SidecarCore::Impl::GrowIfUnderestimated(SidecarAttempt& aAttempt)
{
  const uint64_t used =
    aAttempt.mOffer.mPromptTokens + aAttempt.mGeneratedTokens;
  if (!mOptions.mTokenStream || used <= aAttempt.mShare.mTokens) {
    return;
  }
  const uint64_t more =
    std::max(aAttempt.mGeneratedTokens / kGrowthDivisor, kMinGrowth);
  CapacityShare grown = aAttempt.mShare;
  grown.mTokens = used + more;
  mSchedule.Adjust(
    aAttempt.mOffer.mLevel,
    static_cast<int64_t>(grown.mTokens - aAttempt.mShare.mTokens));
  ChangeShare(aAttempt, grown);
}

void
SidecarCore::Impl::ChangeShare(SidecarAttempt& aAttempt,
                               const CapacityShare& aShare)
{
  mCapacity.Release(aAttempt.mShare);
  aAttempt.mShare = aShare;
  mCapacity.Take(aShare);
}

void
SidecarCore::Impl::AppendChunk(SidecarAttempt& aAttempt,
                               std::string aData,
                               uint32_t aTokens)
{
  Chunk chunk{ .mKey = aAttempt.mOffer.mKey,
               .mData = std::move(aData),
               .mTokens = aTokens,
               .mHeaders = {} };
  if (aAttempt.mAnswer.Count() == 0) {
    chunk.mStatus = aAttempt.mStatus;
    chunk.mHeaders = std::move(aAttempt.mHeaders);
    aAttempt.mHeadPending = false;
  }
  const Chunk& appended = aAttempt.mAnswer.Append(std::move(chunk));
  if (aAttempt.mForwarding) {
    Send(aAttempt.mEntry, appended);
  }
}

void
SidecarCore::Impl::Handle(const CallDone& aDone)
{
  SidecarAttempt* attempt = FindRunning(aDone.mKey);
  if (!attempt) {
    return;
  }
  if (attempt->mHeadPending) {
    AppendChunk(*attempt, {}, 0);
  }
  ++mCounters.mFinished;
  attempt->mState = AttemptState::Finished;
  EndRunning(*attempt,
             Finished{ .mKey = aDone.mKey,
                       .mChunks = attempt->mAnswer.Count(),
                       .mPromptTokens = aDone.mPromptTokens,
                       .mOutputTokens = aDone.mOutputTokens });
}

void
SidecarCore::Impl::Handle(const CallFailed& aFailed)
{
  SidecarAttempt* attempt = FindRunning(aFailed.mKey);
  if (!attempt) {
    return;
  }
  if (!attempt->mHeadPending && attempt->mAnswer.Count() == 0) {
    mPause.OnNotStarted(attempt->mGrantedAt);
  }
  if (aFailed.mKind == ErrorKind::UpstreamUnreachable) {
    mCapacity.OnUnreachable(mNow);
  }
  FailRunning(*attempt, aFailed.mKind, aFailed.mRan);
}

void
SidecarCore::Impl::Handle(const CallPause& aPause)
{
  if (FindRunning(aPause.mKey) == nullptr) {
    return;
  }
  ++mCounters.mPauses;
  mPause.Extend(mNow + aPause.mDuration);
  DeclineWaitingForPause();
}

void
SidecarCore::Impl::Cancel(SidecarAttempt& aAttempt, ErrorKind aKind)
{
  mActions.emplace_back(CancelCall{ .mKey = aAttempt.mOffer.mKey });
  FailRunning(aAttempt, aKind, Ran::Maybe);
}

void
SidecarCore::Impl::FailRunning(SidecarAttempt& aAttempt,
                               ErrorKind aKind,
                               Ran aRan)
{
  ++mCounters.mFailed;
  aAttempt.mState = AttemptState::Failed;
  EndRunning(aAttempt,
             Failed{ .mKey = aAttempt.mOffer.mKey,
                     .mKind = aKind,
                     .mRan = aRan,
                     .mChunks = aAttempt.mAnswer.Count() });
}

void
SidecarCore::Impl::EndRunning(SidecarAttempt& aAttempt,
                              const FinalMessage& aMessage)
{
  const uint64_t used = mOptions.mTokenStream ? aAttempt.mOffer.mPromptTokens +
                                                  aAttempt.mGeneratedTokens
                                              : 1;
  if (aAttempt.mState == AttemptState::Finished) {
    mRate.OnEnded(used, aAttempt.mGeneratedTokens, mNow - aAttempt.mStartedAt);
  }
  ReleaseCapacity(aAttempt, used);
  aAttempt.mFinalMessage = aMessage;
  const AttemptKey key = aAttempt.mOffer.mKey;
  mLedger.Close(key, NeverRan(aMessage) ? FinalMessage() : aMessage, mNow);
  if (aAttempt.mForwarding) {
    SendFinalMessage(aAttempt.mEntry, aAttempt.mFinalMessage);
  }
  if (aAttempt.mState == AttemptState::Failed) {
    return Erase(key);
  }
  ArmEnded(aAttempt);
}

void
SidecarCore::Impl::SendFinalMessage(const EntryId& aEntry,
                                    const FinalMessage& aMessage)
{
  if (const auto* finished = std::get_if<Finished>(&aMessage)) {
    Send(aEntry, *finished);
  }
  if (const auto* failed = std::get_if<Failed>(&aMessage)) {
    Send(aEntry, *failed);
  }
}

} // namespace trefoilarch
