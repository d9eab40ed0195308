#include "sidecarimpl.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

uint64_t
TokensOf(const Offer& aOffer, const SidecarOptions& aOptions)
{
  if (!aOptions.mTokenStream)
    return 0;
  return uint64_t{ aOffer.mPromptTokens } + aOffer.mOutputTokens;
}

} // namespace

SidecarCore::Impl::Impl(SidecarOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLedger({ .mSpan = mOptions.mLedgerSpan, .mLimit = mOptions.mLedgerLimit })
  , mRoom({ .mFirstLimit = mOptions.mFirstTokenRoom,
            .mMostLimit = mOptions.mMostTokenRoom,
            .mMostRunning = mOptions.mMostRunning })
{
}

void
SidecarCore::Impl::Begin(Millis aNow)
{
  mNow = std::max(mNow, aNow);
}

SidecarActions
SidecarCore::Impl::Finish()
{
  GrantWhatFits();
  return std::exchange(mActions, {});
}

void
SidecarCore::Impl::OnMessage(const EntryId& aEntry, EntryMessage aMessage)
{
  std::visit(
    [&](auto& aAny) {
      if constexpr (requires { aAny.mKey; })
        if (!MayTouch(aEntry, aAny))
          return;
      Handle(aEntry, aAny);
    },
    aMessage);
}

template<typename Message>
bool
SidecarCore::Impl::MayTouch(const EntryId& aEntry, const Message& aMessage)
{
  if constexpr (std::is_same_v<Message, VoidOrReport>)
    return true;
  const Attempt* attempt = Find(aMessage.mKey);
  if (!attempt || attempt->mEntry == aEntry)
    return true;
  ++mCounters.mForeign;
  return false;
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Hello&)
{
  OnEntryDown(aEntry);
  mEntries[aEntry].mConnected = true;
  Send(aEntry,
       Welcome{ .mUpstream = mOptions.mUpstream,
                .mIncarnation = mOptions.mIncarnation,
                .mDataCentre = mOptions.mDataCentre,
                .mLabels = mOptions.mLabels,
                .mPolicyVersion = mPolicyVersion,
                .mLoad = CurrentLoad() });
  mHeartbeats.Arm(aEntry, mNow + mOptions.mHeartbeat);
}

void
SidecarCore::Impl::OnEntryDown(const EntryId& aEntry)
{
  const auto found = mEntries.find(aEntry);
  if (found == mEntries.end())
    return;
  found->second.mConnected = false;
  mHeartbeats.Disarm(aEntry);
  const auto keys = found->second.mAttempts;
  for (const AttemptKey& key : keys) {
    Attempt& attempt = mAttempts.at(key);
    attempt.mFlowing = false;
    if (attempt.mState == AttemptState::Running)
      ArmRunning(attempt);
    else if (attempt.HasEnded())
      ArmEnded(attempt);
    else
      Void(attempt);
  }
  ForgetIfGone(aEntry);
}

void
SidecarCore::Impl::ForgetIfGone(const EntryId& aEntry)
{
  const auto found = mEntries.find(aEntry);
  if (found == mEntries.end())
    return;
  if (!found->second.mConnected && found->second.mAttempts.empty())
    mEntries.erase(found);
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Offer& aOffer)
{
  if (Attempt* known = Find(aOffer.mKey))
    return RepeatOffer(*known);
  if (mLedger.Find(aOffer.mKey))
    return AnswerFromLedger(aEntry, aOffer.mKey);
  ++mCounters.mOffered;
  if (mDraining)
    return DeclineOffer(aEntry, aOffer.mKey, ErrorKind::ShuttingDown, Millis());
  if (mSchedule.Size() >= mOptions.mQueueLimit)
    return DeclineOffer(
      aEntry, aOffer.mKey, ErrorKind::Shed, mOptions.mGrantSpan);
  Attempt attempt{ .mEntry = aEntry,
                   .mOffer = aOffer,
                   .mArrived = mNow,
                   .mDeadlineAt = mNow + aOffer.mDeadline,
                   .mTokens = TokensOf(aOffer, mOptions) };
  mSchedule.Add({ .mKey = aOffer.mKey,
                  .mLevel = aOffer.mLevel,
                  .mTokens = attempt.mTokens,
                  .mStartBy = mNow + aOffer.mFirstTokenDue });
  mTimers.Arm(aOffer.mKey, attempt.mDeadlineAt);
  mEntries[aEntry].mConnected = true;
  mEntries[aEntry].mAttempts.insert(aOffer.mKey);
  mAttempts.emplace(aOffer.mKey, std::move(attempt));
}

void
SidecarCore::Impl::RepeatOffer(Attempt& aAttempt)
{
  if (aAttempt.mState == AttemptState::Granted)
    return SendGrant(aAttempt);
  if (aAttempt.mState == AttemptState::Waiting)
    return;
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
  while (!mDraining) {
    const auto next = mSchedule.Next();
    if (!next || !mRoom.Fits(mAttempts.at(*next).mTokens))
      return;
    mSchedule.Remove(*next);
    GrantNow(mAttempts.at(*next));
  }
}

void
SidecarCore::Impl::GrantNow(Attempt& aAttempt)
{
  ++mCounters.mGranted;
  aAttempt.mState = AttemptState::Granted;
  aAttempt.mGrantedAt = mNow;
  mRoom.Take(aAttempt.mTokens);
  mTimers.Arm(aAttempt.mOffer.mKey, mNow + mOptions.mGrantSpan);
  SendGrant(aAttempt);
}

void
SidecarCore::Impl::SendGrant(const Attempt& aAttempt)
{
  const Millis left = aAttempt.mGrantedAt + mOptions.mGrantSpan - mNow;
  Send(aAttempt.mEntry,
       Grant{ .mKey = aAttempt.mOffer.mKey, .mValidFor = left });
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, Start& aStart)
{
  Attempt* attempt = Find(aStart.mKey);
  if (!attempt) {
    ++mCounters.mLateStarts;
    return AnswerFromLedger(aEntry, aStart.mKey);
  }
  if (attempt->mState == AttemptState::Waiting)
    return Void(*attempt);
  if (attempt->mState != AttemptState::Granted)
    return;
  if (mNow >= attempt->mGrantedAt + mOptions.mGrantSpan)
    return Void(*attempt);
  ++mCounters.mStarted;
  attempt->mState = AttemptState::Running;
  attempt->mStartedAt = mNow;
  ArmRunning(*attempt);
  mActions.emplace_back(StartCall{ .mKey = aStart.mKey,
                                   .mCall = std::move(aStart.mCall),
                                   .mTier = attempt->mOffer.mLevel.mTier });
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Withdraw& aWithdraw)
{
  Attempt* attempt = Find(aWithdraw.mKey);
  if (!attempt)
    return AnswerFromLedger(aEntry, aWithdraw.mKey);
  if (attempt->mState == AttemptState::Running)
    return Cancel(*attempt, ErrorKind::CallerLeft);
  if (attempt->HasEnded())
    return Erase(aWithdraw.mKey);
  Void(*attempt);
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const VoidOrReport& aAsk)
{
  Attempt* attempt = Find(aAsk.mKey);
  if (!attempt)
    return AnswerFromLedger(aEntry, aAsk.mKey);
  if (attempt->mState == AttemptState::Running || attempt->HasEnded())
    return Send(aEntry,
                LedgerEntry{ .mKey = aAsk.mKey,
                             .mState = attempt->mState,
                             .mIncarnation = mOptions.mIncarnation });
  const EntryId owner = attempt->mEntry;
  Void(*attempt);
  if (owner != aEntry)
    AnswerFromLedger(aEntry, aAsk.mKey);
}

void
SidecarCore::Impl::Handle(const EntryId&, const Ack& aAck)
{
  Attempt* attempt = Find(aAck.mKey);
  if (!attempt)
    return;
  attempt->mAnswer.Acknowledge(aAck.mNextChunk);
  if (attempt->HasEnded() && aAck.mNextChunk >= attempt->mAnswer.Count())
    Erase(aAck.mKey);
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Resume& aResume)
{
  Attempt* attempt = Find(aResume.mKey);
  if (!attempt)
    return ResumeFromLedger(aEntry, aResume);
  if (attempt->mState == AttemptState::Waiting ||
      attempt->mState == AttemptState::Granted)
    return Void(*attempt);
  if (!attempt->mAnswer.Has(aResume.mNextChunk)) {
    if (attempt->mState == AttemptState::Running)
      return Cancel(*attempt, ErrorKind::AnswerCut);
    Erase(aResume.mKey);
    return ResumeFromLedger(aEntry, aResume);
  }
  attempt->mFlowing = true;
  AnswerBuffer& answer = attempt->mAnswer;
  answer.Acknowledge(aResume.mNextChunk);
  for (uint64_t number = aResume.mNextChunk; number < answer.Count(); ++number)
    Send(aEntry, answer.At(number));
  if (attempt->mState == AttemptState::Running)
    return ArmRunning(*attempt);
  SendFinalWord(aEntry, attempt->mFinalWord);
  ArmEnded(*attempt);
}

void
SidecarCore::Impl::ResumeFromLedger(const EntryId& aEntry,
                                    const Resume& aResume)
{
  const FinalWord* word = mLedger.Find(aResume.mKey);
  const auto* finished = word ? std::get_if<Finished>(word) : nullptr;
  const auto* failed = word ? std::get_if<Failed>(word) : nullptr;
  if (failed)
    return Send(aEntry, *failed);
  if (!finished)
    return AnswerFromLedger(aEntry, aResume.mKey);
  if (finished->mChunks == aResume.mNextChunk)
    return Send(aEntry, *finished);
  Send(aEntry,
       Failed{ .mKey = aResume.mKey,
               .mKind = ErrorKind::AnswerCut,
               .mRan = Ran::Maybe,
               .mChunks = finished->mChunks });
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const EntryHeartbeat&)
{
  mEntries[aEntry].mConnected = true;
}

void
SidecarCore::Impl::AnswerFromLedger(const EntryId& aEntry,
                                    const AttemptKey& aKey)
{
  const FinalWord* word = mLedger.Find(aKey);
  const bool unknown = !word && mLedger.HasForgottenStarts();
  if (!word && !unknown)
    mLedger.Close(aKey, {}, mNow);
  const bool started = word && !std::holds_alternative<std::monostate>(*word);
  if (!unknown && !started) {
    ++mCounters.mVoided;
    return Send(aEntry,
                Voided{ .mKey = aKey, .mIncarnation = mOptions.mIncarnation });
  }
  const bool failed = word && std::holds_alternative<Failed>(*word);
  const AttemptState state = unknown  ? AttemptState::Unknown
                             : failed ? AttemptState::Failed
                                      : AttemptState::Finished;
  Send(aEntry,
       LedgerEntry{ .mKey = aKey,
                    .mState = state,
                    .mIncarnation = mOptions.mIncarnation });
}

void
SidecarCore::Impl::Void(Attempt& aAttempt)
{
  const AttemptKey key = aAttempt.mOffer.mKey;
  const EntryId entry = aAttempt.mEntry;
  mSchedule.Remove(key);
  ReleaseRoom(aAttempt);
  mLedger.Close(key, {}, mNow);
  Erase(key);
  AnswerFromLedger(entry, key);
}

void
SidecarCore::Impl::ReleaseRoom(Attempt& aAttempt)
{
  if (aAttempt.HoldsRoom())
    mRoom.Release(aAttempt.mTokens);
}

void
SidecarCore::Impl::Erase(const AttemptKey& aKey)
{
  const auto found = mAttempts.find(aKey);
  if (found == mAttempts.end())
    return;
  const EntryId entry = found->second.mEntry;
  mTimers.Disarm(aKey);
  mAttempts.erase(found);
  mEntries[entry].mAttempts.erase(aKey);
  ForgetIfGone(entry);
}

Attempt*
SidecarCore::Impl::Find(const AttemptKey& aKey)
{
  const auto found = mAttempts.find(aKey);
  return found == mAttempts.end() ? nullptr : &found->second;
}

Attempt*
SidecarCore::Impl::FindRunning(const AttemptKey& aKey)
{
  Attempt* attempt = Find(aKey);
  if (attempt && attempt->mState == AttemptState::Running)
    return attempt;
  ++mCounters.mStrayEvents;
  return nullptr;
}

void
SidecarCore::Impl::Send(const EntryId& aEntry, SidecarMessage aMessage)
{
  if (!IsConnected(aEntry))
    return;
  mActions.emplace_back(
    SendToEntry{ .mEntry = aEntry, .mMessage = std::move(aMessage) });
}

bool
SidecarCore::Impl::IsConnected(const EntryId& aEntry) const
{
  const auto found = mEntries.find(aEntry);
  return found != mEntries.end() && found->second.mConnected;
}

} // namespace trefoilarch
