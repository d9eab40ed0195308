#include "sidecarimpl.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/**
 * The capacity never falls below these fractions of the initial limit. The
 * calls of a service differ by nature, so slow ones say less about its load.
 */
constexpr uint64_t kMinTokenDivisor = 32;
constexpr size_t kMinCallDivisor = 4;

UpstreamCapacityOptions
CapacityOptionsFrom(const SidecarOptions& aOptions)
{
  const size_t calls = aOptions.mMaxRunning;
  const bool tokens = aOptions.mTokenStream;
  return { .mInitialLimit = tokens ? aOptions.mInitialTokenCapacity : calls,
           .mMinLimit = tokens
                          ? aOptions.mInitialTokenCapacity / kMinTokenDivisor
                          : calls / kMinCallDivisor,
           .mMaxLimit = tokens ? aOptions.mMaxTokenCapacity : calls,
           .mMaxRunning = calls };
}

} // namespace

SidecarCore::Impl::Impl(SidecarOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLedger({ .mRetention = mOptions.mLedgerRetention,
              .mLimit = mOptions.mLedgerLimit })
  , mSchedule({ .mFloorStartDelay = mOptions.mFloorStartDelay })
  , mCapacity(CapacityOptionsFrom(mOptions))
  , mAdmission(mSchedule, mCapacity, mRate, mOptions.mSeed)
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
  GiveUpLateRequests();
  GrantWhatFits();
  return std::exchange(mActions, {});
}

void
SidecarCore::Impl::OnMessage(const EntryId& aEntry, EntryMessage aMessage)
{
  if (!AcceptMessage(aEntry, aMessage)) {
    return;
  }
  std::visit(
    [&](auto& aTyped) {
      if constexpr (requires { aTyped.mKey; }) {
        if (!MayAccess(aEntry, aTyped)) {
          return;
        }
      }
      Handle(aEntry, aTyped);
    },
    aMessage);
}

bool
SidecarCore::Impl::AcceptMessage(const EntryId& aEntry,
                                 const EntryMessage& aMessage)
{
  const auto found = mEntries.find(aEntry);
  if (found == mEntries.end()) {
    return true;
  }
  found->second.mLastReceivedAt = mNow;
  return !found->second.mSilenced || std::holds_alternative<Hello>(aMessage);
}

template<typename Message>
bool
SidecarCore::Impl::MayAccess(const EntryId& aEntry, const Message& aMessage)
{
  if constexpr (std::is_same_v<Message, VoidOrReport>) {
    return true;
  }
  const SidecarAttempt* attempt = Find(aMessage.mKey);
  if (!attempt || attempt->mEntry == aEntry) {
    return true;
  }
  ++mCounters.mForeignMessages;
  return false;
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Hello&)
{
  OnEntryDown(aEntry);
  mEntries[aEntry].mConnected = true;
  mEntries[aEntry].mSilenced = false;
  mEntries[aEntry].mLastReceivedAt = mNow;
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
  if (found == mEntries.end()) {
    return;
  }
  found->second.mConnected = false;
  mHeartbeats.Disarm(aEntry);
  const auto keys = found->second.mAttempts;
  for (const AttemptKey& key : keys) {
    SidecarAttempt& attempt = mAttempts.at(key);
    attempt.mForwarding = false;
    if (attempt.mState == AttemptState::Running) {
      ArmRunning(attempt);
    } else if (attempt.HasEnded()) {
      ArmEnded(attempt);
    } else {
      Void(attempt);
    }
  }
  EraseIfUnused(aEntry);
}

void
SidecarCore::Impl::EraseIfUnused(const EntryId& aEntry)
{
  const auto found = mEntries.find(aEntry);
  if (found == mEntries.end()) {
    return;
  }
  if (!found->second.mConnected && found->second.mAttempts.empty()) {
    mEntries.erase(found);
  }
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Withdraw& aWithdraw)
{
  SidecarAttempt* attempt = Find(aWithdraw.mKey);
  if (!attempt) {
    return AnswerFromLedger(aEntry, aWithdraw.mKey);
  }
  if (attempt->mState == AttemptState::Running) {
    return Cancel(*attempt, ErrorKind::CallerLeft);
  }
  if (attempt->HasEnded()) {
    return Erase(aWithdraw.mKey);
  }
  Void(*attempt);
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const VoidOrReport& aQuery)
{
  SidecarAttempt* attempt = Find(aQuery.mKey);
  if (!attempt) {
    return AnswerFromLedger(aEntry, aQuery.mKey);
  }
  if (attempt->mState == AttemptState::Running || attempt->HasEnded()) {
    return Send(aEntry,
                LedgerEntry{ .mKey = aQuery.mKey,
                             .mState = attempt->mState,
                             .mIncarnation = mOptions.mIncarnation });
  }
  const EntryId owner = attempt->mEntry;
  Void(*attempt);
  if (owner != aEntry) {
    AnswerFromLedger(aEntry, aQuery.mKey);
  }
}

void
SidecarCore::Impl::Handle(const EntryId&, const Ack& aAck)
{
  SidecarAttempt* attempt = Find(aAck.mKey);
  if (!attempt) {
    return;
  }
  attempt->mAnswer.Acknowledge(aAck.mNextChunk);
  if (attempt->HasEnded() && aAck.mNextChunk >= attempt->mAnswer.Count()) {
    Erase(aAck.mKey);
  }
}

void
SidecarCore::Impl::Handle(const EntryId& aEntry, const Resume& aResume)
{
  SidecarAttempt* attempt = Find(aResume.mKey);
  if (!attempt) {
    return ResumeFromLedger(aEntry, aResume);
  }
  if (attempt->mState == AttemptState::Waiting ||
      attempt->mState == AttemptState::Granted) {
    return Void(*attempt);
  }
  if (!attempt->mAnswer.Has(aResume.mNextChunk)) {
    if (attempt->mState == AttemptState::Running) {
      return Cancel(*attempt, ErrorKind::AnswerCut);
    }
    Erase(aResume.mKey);
    return ResumeFromLedger(aEntry, aResume);
  }
  attempt->mForwarding = true;
  AnswerBuffer& answer = attempt->mAnswer;
  answer.Acknowledge(aResume.mNextChunk);
  for (uint64_t number = aResume.mNextChunk; number < answer.Count();
       ++number) {
    Send(aEntry, answer.At(number));
  }
  if (attempt->mState == AttemptState::Running) {
    return ArmRunning(*attempt);
  }
  SendFinalMessage(aEntry, attempt->mFinalMessage);
  ArmEnded(*attempt);
}

void
SidecarCore::Impl::ResumeFromLedger(const EntryId& aEntry,
                                    const Resume& aResume)
{
  const FinalMessage* message = mLedger.Find(aResume.mKey);
  const auto* finished = message ? std::get_if<Finished>(message) : nullptr;
  const auto* failed = message ? std::get_if<Failed>(message) : nullptr;
  if (failed) {
    return Send(aEntry, *failed);
  }
  if (!finished) {
    return AnswerFromLedger(aEntry, aResume.mKey);
  }
  if (finished->mChunks == aResume.mNextChunk) {
    return Send(aEntry, *finished);
  }
  Send(aEntry,
       Failed{ .mKey = aResume.mKey,
               .mKind = ErrorKind::AnswerCut,
               .mRan = Ran::Maybe,
               .mChunks = finished->mChunks });
}

void
SidecarCore::Impl::Handle(const EntryId&, const EntryHeartbeat&)
{
}

void
SidecarCore::Impl::AnswerFromLedger(const EntryId& aEntry,
                                    const AttemptKey& aKey)
{
  const FinalMessage* message = mLedger.Find(aKey);
  const bool maybeDropped = !message && mLedger.HasForgottenStarts();
  if (!message && !maybeDropped) {
    mLedger.Close(aKey, {}, mNow);
  }
  const bool started =
    message && !std::holds_alternative<std::monostate>(*message);
  if (!maybeDropped && !started) {
    ++mCounters.mVoided;
    return Send(aEntry,
                Voided{ .mKey = aKey, .mIncarnation = mOptions.mIncarnation });
  }
  const bool failed = message && std::holds_alternative<Failed>(*message);
  const AttemptState state = maybeDropped ? AttemptState::Unknown
                             : failed     ? AttemptState::Failed
                                          : AttemptState::Finished;
  Send(aEntry,
       LedgerEntry{ .mKey = aKey,
                    .mState = state,
                    .mIncarnation = mOptions.mIncarnation });
}

void
SidecarCore::Impl::Void(SidecarAttempt& aAttempt)
{
  const AttemptKey key = aAttempt.mOffer.mKey;
  const EntryId entry = aAttempt.mEntry;
  mSchedule.Remove(key);
  if (aAttempt.HoldsCapacity()) {
    ReleaseCapacity(aAttempt, 0);
    mPause.OnNotStarted(aAttempt.mGrantedAt);
  }
  mLedger.Close(key, {}, mNow);
  Erase(key);
  AnswerFromLedger(entry, key);
}

void
SidecarCore::Impl::ReleaseCapacity(SidecarAttempt& aAttempt, uint64_t aUsed)
{
  const ServiceLevel& level = aAttempt.mOffer.mLevel;
  const auto used = static_cast<int64_t>(aUsed);
  mCapacity.Release(aAttempt.mShare);
  mSchedule.Adjust(level, used - static_cast<int64_t>(aAttempt.mShare.mTokens));
  mSchedule.OnEnded(level, aAttempt.mFloorTokens, mNow);
  mPreemption.Remove(aAttempt.mOffer.mKey);
}

void
SidecarCore::Impl::Erase(const AttemptKey& aKey)
{
  const auto found = mAttempts.find(aKey);
  if (found == mAttempts.end()) {
    return;
  }
  const EntryId entry = found->second.mEntry;
  mTimers.Disarm(aKey);
  mAttempts.erase(found);
  mEntries[entry].mAttempts.erase(aKey);
  EraseIfUnused(entry);
}

SidecarAttempt*
SidecarCore::Impl::Find(const AttemptKey& aKey)
{
  const auto found = mAttempts.find(aKey);
  return found == mAttempts.end() ? nullptr : &found->second;
}

SidecarAttempt*
SidecarCore::Impl::FindRunning(const AttemptKey& aKey)
{
  SidecarAttempt* attempt = Find(aKey);
  if (attempt && attempt->mState == AttemptState::Running) {
    return attempt;
  }
  ++mCounters.mStrayEvents;
  return nullptr;
}

void
SidecarCore::Impl::Send(const EntryId& aEntry, SidecarMessage aMessage)
{
  if (!IsConnected(aEntry)) {
    return;
  }
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
