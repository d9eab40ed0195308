#include "sidecarimpl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trefoilarch {

namespace {

/** A late request is checked again after this time. */
constexpr Millis kLateRecheckDelay{ 500 };

/**
 * How long a dispatch that this upstream is too slow for waits for another
 * sidecar's grant: some round trips.
 */
constexpr Millis kHoldBackTime{ 50 };

/** Preemption happens when this fraction of the first-token target is left. */
constexpr int64_t kPreemptDivisor = 4;

} // namespace

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Offer& aOffer)
{
  if (SidecarAttempt* existing = Find(aOffer.mKey)) {
    return RepeatOffer(*existing);
  }
  if (mLedger.Find(aOffer.mKey)) {
    return AnswerFromLedger(aEntry, aOffer.mKey);
  }
  ++mCounters.mOffered;
  if (mDraining) {
    return DeclineOffer(aEntry, aOffer.mKey, ErrorKind::ShuttingDown, Millis());
  }
  mCapacity.OnTierSeen(aOffer.mLevel.mTier, mNow);
  mStrictestFirstToken.Observe(aOffer.mLevel.mFirstTokenTarget, mNow);
  mStrictestBetweenTokens.Observe(aOffer.mLevel.mBetweenTokenTarget, mNow);
  if (DeclineForPause(aEntry, aOffer)) {
    return;
  }
  if (const auto retryAfter =
        mAdmission.Refuse(AdmissionRequestFor(aOffer), mNow)) {
    ++mCounters.mGivenUp;
    return DeclineOffer(
      aEntry, aOffer.mKey, ErrorKind::DeadlineUnmeetable, *retryAfter);
  }
  if (MakeQueueSpace(aEntry, aOffer)) {
    Enqueue(aEntry, aOffer);
  }
}

bool
SidecarCore::Impl::DeclineForPause(const EntryId& aEntry, const Offer& aOffer)
{
  const Millis wait = mPause.WaitFor(mNow);
  if (!mPause.IsPaused(mNow) ||
      wait <= AdmissionRequestFor(aOffer).mLatestStart) {
    return false;
  }
  ++mCounters.mGivenUp;
  DeclineOffer(aEntry,
               aOffer.mKey,
               ErrorKind::DeadlineUnmeetable,
               mAdmission.RetryAfterPause(wait));
  return true;
}

void
SidecarCore::Impl::DeclineWaitingForPause()
{
  const Millis wait = mPause.WaitFor(mNow);
  std::vector<AttemptKey> late;
  for (const auto& [key, attempt] : mAttempts) {
    const Millis latestStart =
      attempt.mArrivedAt + AdmissionRequestFor(attempt.mOffer).mLatestStart;
    if (attempt.mState == AttemptState::Waiting && mNow + wait > latestStart) {
      late.push_back(key);
    }
  }
  for (const AttemptKey& key : late) {
    ++mCounters.mGivenUp;
    DeclineWaiting(
      key, ErrorKind::DeadlineUnmeetable, mAdmission.RetryAfterPause(wait));
  }
}

AdmissionRequest
SidecarCore::Impl::AdmissionRequestFor(const Offer& aOffer) const
{
  return { .mLevel = aOffer.mLevel,
           .mTokens = ShareOf(aOffer).mTokens,
           .mMinDuration =
             mRate.MinDuration(aOffer.mPromptTokens, aOffer.mOutputTokens),
           .mLatestStart =
             aOffer.mFirstTokenDue - mRate.FirstTokenTime(aOffer.mPromptTokens),
           .mDeadline = aOffer.mDeadline };
}

CapacityShare
SidecarCore::Impl::ShareOf(const Offer& aOffer) const
{
  if (!mOptions.mTokenStream) {
    return { .mTokens = 1, .mTier = aOffer.mLevel.mTier };
  }
  const uint64_t output =
    aOffer.mOutputTokens > 0 ? aOffer.mOutputTokens : mRate.MeanOutput();
  return { .mTokens = aOffer.mPromptTokens + output,
           .mPrefill = aOffer.mPromptTokens,
           .mTier = aOffer.mLevel.mTier };
}

bool
SidecarCore::Impl::MakeQueueSpace(const EntryId& aEntry, const Offer& aOffer)
{
  const ServiceLevel& level = aOffer.mLevel;
  if (mSchedule.Size() < mOptions.mQueueLimit ||
      mSchedule.HasReservedPlace(level)) {
    return true;
  }
  ++mCounters.mShed;
  const auto victim = mSchedule.VictimFor(level);
  if (!victim) {
    const Millis retryAfter = mAdmission.RetryAfter(level, mNow);
    DeclineOffer(aEntry, aOffer.mKey, ErrorKind::Shed, retryAfter);
    return false;
  }
  const ServiceLevel shed = mAttempts.at(*victim).mOffer.mLevel;
  DeclineWaiting(*victim, ErrorKind::Shed, mAdmission.RetryAfter(shed, mNow));
  return true;
}

void
SidecarCore::Impl::Enqueue(const EntryId& aEntry, const Offer& aOffer)
{
  const AdmissionRequest request = AdmissionRequestFor(aOffer);
  const Millis startBy = mNow + request.mLatestStart;
  mSchedule.Add({ .mKey = aOffer.mKey,
                  .mLevel = aOffer.mLevel,
                  .mTokens = request.mTokens,
                  .mStartBy = startBy },
                mNow);
  SidecarAttempt attempt{ .mEntry = aEntry,
                          .mOffer = aOffer,
                          .mArrivedAt = mNow,
                          .mDeadlineAt = mNow + aOffer.mDeadline,
                          .mShare = ShareOf(aOffer) };
  const Millis latestStart = attempt.mDeadlineAt - request.mMinDuration;
  const bool late = startBy < mNow;
  mTimers.Arm(aOffer.mKey,
              late ? std::min(latestStart, mNow + kLateRecheckDelay)
                   : latestStart);
  Entry& entry = mEntries[aEntry];
  entry.mConnected = true;
  if (entry.mAttempts.empty()) {
    entry.mLastReceivedAt = mNow;
    mHeartbeats.Arm(aEntry, mNow + mOptions.mHeartbeat);
  }
  entry.mAttempts.insert(aOffer.mKey);
  mAttempts.emplace(aOffer.mKey, std::move(attempt));
}

void
SidecarCore::Impl::GiveUpLateRequests()
{
  for (const AttemptKey& key : mSchedule.TakeLate(mNow)) {
    GiveUpIfUnmeetable(key);
  }
}

void
SidecarCore::Impl::GiveUpIfUnmeetable(const AttemptKey& aKey)
{
  const SidecarAttempt& attempt = mAttempts.at(aKey);
  AdmissionRequest request = AdmissionRequestFor(attempt.mOffer);
  request.mTokens = 0;
  request.mDeadline = attempt.mDeadlineAt - mNow;
  const Millis latestStart = attempt.mDeadlineAt - request.mMinDuration;
  auto retryAfter = mAdmission.GiveUp(request, mNow);
  if (!retryAfter && mNow < latestStart) {
    return mTimers.Arm(aKey, std::min(latestStart, mNow + kLateRecheckDelay));
  }
  if (!retryAfter) {
    retryAfter = mAdmission.RetryAfter(attempt.mOffer.mLevel, mNow);
  }
  ++mCounters.mGivenUp;
  const bool passed = mNow >= attempt.mDeadlineAt;
  DeclineWaiting(aKey,
                 passed ? ErrorKind::DeadlineExceeded
                        : ErrorKind::DeadlineUnmeetable,
                 *retryAfter);
}

void
SidecarCore::Impl::RepeatOffer(SidecarAttempt& aAttempt)
{
  if (aAttempt.mState == AttemptState::Granted) {
    return SendGrant(aAttempt);
  }
  if (aAttempt.mState == AttemptState::Waiting) {
    return;
  }
  Send(aAttempt.mEntry,
       LedgerEntry{ .mKey = aAttempt.mOffer.mKey,
                    .mState = aAttempt.mState,
                    .mIncarnation = mOptions.mIncarnation });
}

void
SidecarCore::Impl::DeclineOffer(const EntryId& aEntry,
                                const AttemptKey& aKey,
                                ErrorKind aKind,
                                Millis aRetryAfter)
{
  ++mCounters.mDeclined;
  mLedger.Close(aKey, {}, mNow);
  Send(aEntry,
       Decline{ .mKey = aKey, .mKind = aKind, .mRetryAfter = aRetryAfter });
}

void
SidecarCore::Impl::DeclineWaiting(const AttemptKey& aKey,
                                  ErrorKind aKind,
                                  Millis aRetryAfter)
{
  mSchedule.Remove(aKey);
  DeclineOffer(mAttempts.at(aKey).mEntry, aKey, aKind, aRetryAfter);
  Erase(aKey);
}

void
SidecarCore::Impl::GrantWhatFits()
{
  mNextGrantAt = Millis::Never();
  if (mDraining || mCapacity.IsPaused(mNow)) {
    return;
  }
  GrantRegularDispatches();
  GrantFloorDispatches();
}

void
SidecarCore::Impl::GrantRegularDispatches()
{
  while (const auto dispatch = mSchedule.NextRegularDispatch()) {
    if (!PauseAllowsCall() || ShouldHoldBack(*dispatch)) {
      return;
    }
    const SidecarAttempt& attempt = mAttempts.at(dispatch->mKey);
    if (!mCapacity.Fits(attempt.mShare)) {
      mCapacity.OnLimited(attempt.mShare);
      mRate.OnBlocked(mNow);
      if (!PreemptFor(*dispatch)) {
        return;
      }
    }
    GrantNow(*dispatch);
  }
}

void
SidecarCore::Impl::GrantFloorDispatches()
{
  while (const auto dispatch =
           mSchedule.NextFloorDispatch(mCapacity.Limit(), mNow)) {
    if (!PauseAllowsCall()) {
      return;
    }
    GrantNow(*dispatch);
  }
}

void
SidecarCore::Impl::GrantNow(const Dispatch& aDispatch)
{
  SidecarAttempt& attempt = mAttempts.at(aDispatch.mKey);
  const WaitingRequest& request = *mSchedule.Find(aDispatch.mKey);
  mRate.OnDispatched(
    request.mLevel.mTier, request.mLate, request.mTokens, mNow);
  ++mCounters.mGranted;
  mCounters.mFloorStarts += aDispatch.mFloor ? 1 : 0;
  attempt.mState = AttemptState::Granted;
  attempt.mGrantedAt = mNow;
  mPause.OnSent(mNow);
  attempt.mShare.mOutsideLimit = aDispatch.mFloor;
  attempt.mFloorTokens = aDispatch.mFloor ? request.mTokens : 0;
  mSchedule.Take(aDispatch, mNow);
  mCapacity.Take(attempt.mShare);
  attempt.mPrefillAhead = mCapacity.InPrefill();
  mTimers.Arm(aDispatch.mKey, mNow + mOptions.mGrantTimeout);
  SendGrant(attempt);
}

bool
SidecarCore::Impl::ShouldHoldBack(const Dispatch& aDispatch)
{
  const WaitingRequest& request = *mSchedule.Find(aDispatch.mKey);
  const auto target =
    static_cast<double>(request.mLevel.mBetweenTokenTarget.Count());
  const Millis holdUntil =
    mAttempts.at(aDispatch.mKey).mArrivedAt + kHoldBackTime;
  if (mNow >= holdUntil || mRate.BetweenTokens(mNow) <= target) {
    return false;
  }
  mNextGrantAt = holdUntil;
  return true;
}

bool
SidecarCore::Impl::PreemptFor(const Dispatch& aDispatch)
{
  const WaitingRequest& request = *mSchedule.Find(aDispatch.mKey);
  const Millis preemptAt =
    request.mStartBy - request.mLevel.mFirstTokenTarget / kPreemptDivisor;
  if (request.mLate || mPreemption.Empty()) {
    return false;
  }
  if (mNow < preemptAt) {
    mNextGrantAt = preemptAt;
    return false;
  }
  UpstreamCapacity remaining = mCapacity;
  const auto victims =
    mPreemption.Choose(request.mLevel.mTier, [&](const AttemptKey& aKey) {
      remaining.Release(mAttempts.at(aKey).mShare);
      return remaining.Fits(mAttempts.at(aDispatch.mKey).mShare);
    });
  for (const AttemptKey& key : victims) {
    ++mCounters.mPreempted;
    Cancel(mAttempts.at(key), ErrorKind::Shed);
  }
  return !victims.empty();
}

void
SidecarCore::Impl::SendGrant(const SidecarAttempt& aAttempt)
{
  const Millis validFor = aAttempt.mGrantedAt + mOptions.mGrantTimeout - mNow;
  Send(aAttempt.mEntry,
       Grant{ .mKey = aAttempt.mOffer.mKey, .mValidFor = validFor });
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, Start& aStart)
{
  SidecarAttempt* attempt = Find(aStart.mKey);
  if (!attempt) {
    ++mCounters.mLateStarts;
    return AnswerFromLedger(aEntry, aStart.mKey);
  }
  if (attempt->mState == AttemptState::Waiting) {
    return Void(*attempt);
  }
  if (attempt->mState != AttemptState::Granted) {
    return;
  }
  if (mNow >= attempt->mGrantedAt + mOptions.mGrantTimeout) {
    return Void(*attempt);
  }
  ++mCounters.mStarted;
  attempt->mState = AttemptState::Running;
  attempt->mStartedAt = mNow;
  ArmRunning(*attempt);
  if (attempt->mOffer.mIdempotent && !attempt->mShare.mOutsideLimit) {
    mPreemption.Add({ .mKey = aStart.mKey,
                      .mTier = attempt->mOffer.mLevel.mTier,
                      .mStartedAt = mNow });
  }
  mActions.emplace_back(StartCall{ .mKey = aStart.mKey,
                                   .mCall = std::move(aStart.mCall),
                                   .mTier = attempt->mOffer.mLevel.mTier });
}

} // namespace trefoilarch
