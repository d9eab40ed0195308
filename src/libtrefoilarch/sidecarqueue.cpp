#include "sidecarimpl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trefoilarch {

namespace {

/** A late request is looked at again after this. */
constexpr Millis kLatePause{ 500 };

/** A turn that this upstream is too slow for waits so long for another's
 * grant: some round trips. */
constexpr Millis kHoldSpan{ 50 };

/** A preemption comes when this part of the first-token target is left. */
constexpr int64_t kPreemptPart = 4;

} // namespace

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Offer& aOffer)
{
  if (SidecarAttempt* known = Find(aOffer.mKey)) {
    return RepeatOffer(*known);
  }
  if (mLedger.Find(aOffer.mKey)) {
    return AnswerFromLedger(aEntry, aOffer.mKey);
  }
  ++mCounters.mOffered;
  if (mDraining) {
    return DeclineOffer(aEntry, aOffer.mKey, ErrorKind::ShuttingDown, Millis());
  }
  mCapacity.OnSeen(aOffer.mLevel.mTier, mNow);
  mStrictFirst.See(aOffer.mLevel.mFirstTokenTarget, mNow);
  mStrictBetween.See(aOffer.mLevel.mBetweenTokenTarget, mNow);
  if (const auto retryAfter = mAdmission.Refuse(ProspectOf(aOffer), mNow)) {
    ++mCounters.mGivenUp;
    return DeclineOffer(
      aEntry, aOffer.mKey, ErrorKind::DeadlineUnmeetable, *retryAfter);
  }
  if (MakePlace(aEntry, aOffer)) {
    Enqueue(aEntry, aOffer);
  }
}

Prospect
SidecarCore::Impl::ProspectOf(const Offer& aOffer) const
{
  return { .mLevel = aOffer.mLevel,
           .mTokens = ShareOf(aOffer).mTokens,
           .mLeastTime =
             mRate.LeastTime(aOffer.mPromptTokens, aOffer.mOutputTokens),
           .mStartDue =
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
SidecarCore::Impl::MakePlace(const EntryId& aEntry, const Offer& aOffer)
{
  const ServiceLevel& level = aOffer.mLevel;
  if (mSchedule.Size() < mOptions.mQueueLimit ||
      mSchedule.HasKeptPlace(level)) {
    return true;
  }
  ++mCounters.mShed;
  const auto victim = mSchedule.ToShedFor(level);
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
  const Prospect prospect = ProspectOf(aOffer);
  const Millis startBy = mNow + prospect.mStartDue;
  mSchedule.Add({ .mKey = aOffer.mKey,
                  .mLevel = aOffer.mLevel,
                  .mTokens = prospect.mTokens,
                  .mStartBy = startBy },
                mNow);
  SidecarAttempt attempt{ .mEntry = aEntry,
                          .mOffer = aOffer,
                          .mArrivedAt = mNow,
                          .mDeadlineAt = mNow + aOffer.mDeadline,
                          .mShare = ShareOf(aOffer) };
  const Millis last = attempt.mDeadlineAt - prospect.mLeastTime;
  const bool late = startBy < mNow;
  mTimers.Arm(aOffer.mKey, late ? std::min(last, mNow + kLatePause) : last);
  Entry& entry = mEntries[aEntry];
  entry.mConnected = true;
  if (entry.mAttempts.empty()) {
    entry.mHeard = mNow;
    mHeartbeats.Arm(aEntry, mNow + mOptions.mHeartbeat);
  }
  entry.mAttempts.insert(aOffer.mKey);
  mAttempts.emplace(aOffer.mKey, std::move(attempt));
}

void
SidecarCore::Impl::GiveUpLate()
{
  for (const AttemptKey& key : mSchedule.TakeLate(mNow)) {
    GiveUpIfHopeless(key);
  }
}

void
SidecarCore::Impl::GiveUpIfHopeless(const AttemptKey& aKey)
{
  const SidecarAttempt& attempt = mAttempts.at(aKey);
  Prospect prospect = ProspectOf(attempt.mOffer);
  prospect.mTokens = 0;
  prospect.mDeadline = attempt.mDeadlineAt - mNow;
  const Millis last = attempt.mDeadlineAt - prospect.mLeastTime;
  auto retryAfter = mAdmission.GiveUp(prospect, mNow);
  if (!retryAfter && mNow < last) {
    return mTimers.Arm(aKey, std::min(last, mNow + kLatePause));
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
  mTurnDue = Millis::Never();
  if (mDraining || mCapacity.IsPaused(mNow)) {
    return;
  }
  GrantRegularTurns();
  GrantFloorTurns();
}

void
SidecarCore::Impl::GrantRegularTurns()
{
  while (const auto turn = mSchedule.NextRegular()) {
    if (HoldsBack(*turn)) {
      return;
    }
    const SidecarAttempt& attempt = mAttempts.at(turn->mKey);
    if (!mCapacity.Fits(attempt.mShare)) {
      mCapacity.OnWanted(attempt.mShare);
      mRate.OnBlocked(mNow);
      if (!PreemptFor(*turn)) {
        return;
      }
    }
    GrantNow(*turn);
  }
}

void
SidecarCore::Impl::GrantFloorTurns()
{
  while (const auto turn = mSchedule.NextFloor(mCapacity.Limit(), mNow)) {
    GrantNow(*turn);
  }
}

void
SidecarCore::Impl::GrantNow(const Dispatch& aTurn)
{
  SidecarAttempt& attempt = mAttempts.at(aTurn.mKey);
  const WaitingRequest& request = *mSchedule.Find(aTurn.mKey);
  mRate.OnTurn(request.mLevel.mTier, request.mLate, request.mTokens, mNow);
  ++mCounters.mGranted;
  mCounters.mFloorStarts += aTurn.mFloor ? 1 : 0;
  attempt.mState = AttemptState::Granted;
  attempt.mGrantedAt = mNow;
  attempt.mShare.mBeside = aTurn.mFloor;
  attempt.mFloorTokens = aTurn.mFloor ? request.mTokens : 0;
  mSchedule.Take(aTurn, mNow);
  mCapacity.Take(attempt.mShare);
  attempt.mPrefillAhead = mCapacity.InPrefill();
  mTimers.Arm(aTurn.mKey, mNow + mOptions.mGrantTimeout);
  SendGrant(attempt);
}

bool
SidecarCore::Impl::HoldsBack(const Dispatch& aTurn)
{
  const WaitingRequest& request = *mSchedule.Find(aTurn.mKey);
  const auto target =
    static_cast<double>(request.mLevel.mBetweenTokenTarget.Count());
  const Millis until = mAttempts.at(aTurn.mKey).mArrivedAt + kHoldSpan;
  if (mNow >= until || mRate.BetweenTokens(mNow) <= target) {
    return false;
  }
  mTurnDue = until;
  return true;
}

bool
SidecarCore::Impl::PreemptFor(const Dispatch& aTurn)
{
  const WaitingRequest& request = *mSchedule.Find(aTurn.mKey);
  const Millis due =
    request.mStartBy - request.mLevel.mFirstTokenTarget / kPreemptPart;
  if (request.mLate || mPreemption.Empty()) {
    return false;
  }
  if (mNow < due) {
    mTurnDue = due;
    return false;
  }
  UpstreamCapacity trial = mCapacity;
  const auto victims =
    mPreemption.Choose(request.mLevel.mTier, [&](const AttemptKey& aKey) {
      trial.Release(mAttempts.at(aKey).mShare);
      return trial.Fits(mAttempts.at(aTurn.mKey).mShare);
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
  const Millis left = aAttempt.mGrantedAt + mOptions.mGrantTimeout - mNow;
  Send(aAttempt.mEntry,
       Grant{ .mKey = aAttempt.mOffer.mKey, .mValidFor = left });
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
  if (attempt->mOffer.mIdempotent && !attempt->mShare.mBeside) {
    mPreemption.Add({ .mKey = aStart.mKey,
                      .mTier = attempt->mOffer.mLevel.mTier,
                      .mStartedAt = mNow });
  }
  mActions.emplace_back(StartCall{ .mKey = aStart.mKey,
                                   .mCall = std::move(aStart.mCall),
                                   .mTier = attempt->mOffer.mLevel.mTier });
}

} // namespace trefoilarch
