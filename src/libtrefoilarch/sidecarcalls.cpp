#include "sidecarimpl.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How long a whole answer waits for its last Ack from a connected entry. */
constexpr Millis kAckSpan{ 30000 };

/** Heartbeats are this many times rarer where nothing is open. */
constexpr int64_t kIdleFactor = 10;

/** Such an attempt is remembered as voided: it did not run and will not. */
bool
NeverRan(const FinalWord& aWord)
{
  const auto* failed = std::get_if<Failed>(&aWord);
  return failed && failed->mRan == Ran::No;
}

} // namespace

void
SidecarCore::Impl::OnCall(CallEvent aEvent)
{
  std::visit([&](auto& aAny) { Handle(aAny); }, aEvent);
}

void
SidecarCore::Impl::Handle(CallHead& aHead)
{
  Attempt* attempt = FindRunning(aHead.mKey);
  if (!attempt)
    return;
  attempt->mHeadWaits = true;
  attempt->mStatus = aHead.mStatus;
  attempt->mHeaders = std::move(aHead.mHeaders);
}

void
SidecarCore::Impl::Handle(CallData& aData)
{
  Attempt* attempt = FindRunning(aData.mKey);
  if (!attempt)
    return;
  const size_t bytes = attempt->mAnswer.Bytes() + aData.mData.size();
  if (bytes > mOptions.mAnswerLimit)
    return Cancel(*attempt, ErrorKind::AnswerCut);
  AppendChunk(*attempt, std::move(aData.mData), aData.mTokens);
}

void
SidecarCore::Impl::AppendChunk(Attempt& aAttempt,
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
    aAttempt.mHeadWaits = false;
  }
  const Chunk& kept = aAttempt.mAnswer.Append(std::move(chunk));
  if (aAttempt.mFlowing)
    Send(aAttempt.mEntry, kept);
}

void
SidecarCore::Impl::Handle(const CallDone& aDone)
{
  Attempt* attempt = FindRunning(aDone.mKey);
  if (!attempt)
    return;
  if (attempt->mHeadWaits)
    AppendChunk(*attempt, {}, 0);
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
  if (Attempt* attempt = FindRunning(aFailed.mKey))
    FailRunning(*attempt, aFailed.mKind, aFailed.mRan);
}

void
SidecarCore::Impl::Cancel(Attempt& aAttempt, ErrorKind aKind)
{
  mActions.emplace_back(CancelCall{ .mKey = aAttempt.mOffer.mKey });
  FailRunning(aAttempt, aKind, Ran::Maybe);
}

void
SidecarCore::Impl::FailRunning(Attempt& aAttempt, ErrorKind aKind, Ran aRan)
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
SidecarCore::Impl::EndRunning(Attempt& aAttempt, const FinalWord& aWord)
{
  mRoom.Release(aAttempt.mTokens);
  aAttempt.mFinalWord = aWord;
  const AttemptKey key = aAttempt.mOffer.mKey;
  mLedger.Close(key, NeverRan(aWord) ? FinalWord() : aWord, mNow);
  if (aAttempt.mFlowing)
    SendFinalWord(aAttempt.mEntry, aAttempt.mFinalWord);
  const bool failed = aAttempt.mState == AttemptState::Failed;
  if (failed && aAttempt.mAnswer.Empty())
    return Erase(key);
  ArmEnded(aAttempt);
}

void
SidecarCore::Impl::SendFinalWord(const EntryId& aEntry, const FinalWord& aWord)
{
  if (const auto* finished = std::get_if<Finished>(&aWord))
    Send(aEntry, *finished);
  if (const auto* failed = std::get_if<Failed>(&aWord))
    Send(aEntry, *failed);
}

void
SidecarCore::Impl::ArmRunning(const Attempt& aAttempt)
{
  const Millis orphaned =
    aAttempt.mFlowing ? Millis::Never() : mNow + mOptions.mOrphanSpan;
  mTimers.Arm(aAttempt.mOffer.mKey, std::min(aAttempt.mDeadlineAt, orphaned));
}

void
SidecarCore::Impl::ArmEnded(const Attempt& aAttempt)
{
  const Millis span = aAttempt.mFlowing ? kAckSpan : mOptions.mOrphanSpan;
  mTimers.Arm(aAttempt.mOffer.mKey, mNow + span);
}

void
SidecarCore::Impl::OnTick()
{
  while (const auto key = mTimers.TakeDue(mNow))
    OnTimer(mAttempts.at(*key));
  SendHeartbeats();
  mLedger.Expire(mNow);
}

void
SidecarCore::Impl::OnTimer(Attempt& aAttempt)
{
  const AttemptKey key = aAttempt.mOffer.mKey;
  switch (aAttempt.mState) {
    case AttemptState::Waiting:
      return DeclineWaiting(
        key, ErrorKind::DeadlineExceeded, mOptions.mGrantSpan);
    case AttemptState::Granted:
      return Void(aAttempt);
    case AttemptState::Running:
      return Cancel(aAttempt,
                    mNow >= aAttempt.mDeadlineAt ? ErrorKind::DeadlineExceeded
                                                 : ErrorKind::CallerLeft);
    default:
      return Erase(key);
  }
}

void
SidecarCore::Impl::SendHeartbeats()
{
  while (const auto entry = mHeartbeats.TakeDue(mNow)) {
    const bool open = !mEntries[*entry].mAttempts.empty();
    const Millis pause = mOptions.mHeartbeat * (open ? 1 : kIdleFactor);
    Send(*entry,
         SidecarHeartbeat{ .mLoad = CurrentLoad(),
                           .mPolicyVersion = mPolicyVersion });
    mHeartbeats.Arm(*entry, mNow + pause);
  }
}

void
SidecarCore::Impl::Drain()
{
  mDraining = true;
  std::vector<AttemptKey> waiting;
  for (const auto& [key, attempt] : mAttempts)
    if (attempt.mState == AttemptState::Waiting)
      waiting.push_back(key);
  for (const AttemptKey& key : waiting)
    DeclineWaiting(key, ErrorKind::ShuttingDown, Millis());
  TellLoad();
}

void
SidecarCore::Impl::Undrain()
{
  mDraining = false;
  TellLoad();
}

void
SidecarCore::Impl::TellLoad()
{
  for (const auto& [entry, channel] : mEntries)
    Send(entry,
         SidecarHeartbeat{ .mLoad = CurrentLoad(),
                           .mPolicyVersion = mPolicyVersion });
}

bool
SidecarCore::Impl::Idle() const
{
  return mDraining && mAttempts.empty();
}

Millis
SidecarCore::Impl::NextWake() const
{
  return std::min(mTimers.Next(), mHeartbeats.Next());
}

} // namespace trefoilarch
