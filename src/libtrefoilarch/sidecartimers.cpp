#include "sidecarimpl.h"

#include <algorithm>
#include <vector>

namespace trefoilarch {

namespace {

/** How long a complete response waits for the last Ack of a connected entry. */
constexpr Millis kFinalAckTimeout{ 30000 };

/** Factor by which heartbeats are less frequent if nothing is open. */
constexpr int64_t kIdleFactor = 10;

} // namespace

void
SidecarCore::Impl::ArmRunning(const SidecarAttempt& aAttempt)
{
  const Millis orphaned =
    aAttempt.mForwarding ? Millis::Never() : mNow + mOptions.mOrphanTimeout;
  mTimers.Arm(aAttempt.mOffer.mKey, std::min(aAttempt.mDeadlineAt, orphaned));
}

void
SidecarCore::Impl::ArmEnded(const SidecarAttempt& aAttempt)
{
  const Millis timeout =
    aAttempt.mForwarding ? kFinalAckTimeout : mOptions.mOrphanTimeout;
  mTimers.Arm(aAttempt.mOffer.mKey, mNow + timeout);
}

void
SidecarCore::Impl::OnTick()
{
  while (const auto key = mTimers.TakeDue(mNow)) {
    OnTimer(mAttempts.at(*key));
  }
  SendHeartbeats();
  mLedger.Expire(mNow);
  mCapacity.Adapt(mNow);
}

void
SidecarCore::Impl::OnTimer(SidecarAttempt& aAttempt)
{
  const AttemptKey key = aAttempt.mOffer.mKey;
  switch (aAttempt.mState) {
    case AttemptState::Waiting:
      return GiveUpIfUnmeetable(key);
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
    Entry& channel = mEntries[*entry];
    const bool open = !channel.mAttempts.empty();
    if (open &&
        mNow >= channel.mLastReceivedAt + mOptions.mEntrySilenceTimeout) {
      ++mCounters.mSilences;
      channel.mSilenced = true;
      OnEntryDown(*entry);
      continue;
    }
    SendHeartbeat(*entry);
    mHeartbeats.Arm(*entry,
                    mNow + mOptions.mHeartbeat * (open ? 1 : kIdleFactor));
  }
}

void
SidecarCore::Impl::SendHeartbeat(const EntryId& aEntry)
{
  Send(aEntry,
       SidecarHeartbeat{ .mLoad = CurrentLoad(),
                         .mPolicyVersion = mPolicyVersion });
}

void
SidecarCore::Impl::Drain()
{
  mDraining = true;
  std::vector<AttemptKey> waiting;
  for (const auto& [key, attempt] : mAttempts) {
    if (attempt.mState == AttemptState::Waiting) {
      waiting.push_back(key);
    }
  }
  for (const AttemptKey& key : waiting) {
    DeclineWaiting(key, ErrorKind::ShuttingDown, Millis());
  }
  BroadcastLoad();
}

void
SidecarCore::Impl::Undrain()
{
  mDraining = false;
  BroadcastLoad();
}

void
SidecarCore::Impl::BroadcastLoad()
{
  for (const auto& [entry, channel] : mEntries) {
    SendHeartbeat(entry);
  }
}

bool
SidecarCore::Impl::Idle() const
{
  return mDraining && mAttempts.empty();
}

Millis
SidecarCore::Impl::NextWake() const
{
  Millis next = std::min(mTimers.Next(), mHeartbeats.Next());
  if (mDraining) {
    return next;
  }
  next = std::min({ next, mSchedule.NextWake(), mNextGrantAt });
  if (mCapacity.IsPaused(mNow)) {
    next = std::min(next, mCapacity.PauseEnd());
  }
  if (mSchedule.Size() > 0 && !PauseAllowsCall()) {
    next = std::min(next, mNow + mPause.WaitFor(mNow));
  }
  return next;
}

} // namespace trefoilarch
