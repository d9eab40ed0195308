#include "channelhealth.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Idle probes that may go unanswered before a channel counts as silent. */
constexpr int64_t kMaxMissedIdleProbes = 2;

} // namespace

ChannelHealth::ChannelHealth(ChannelTimeouts aTimeouts)
  : mTimeouts(aTimeouts)
{
}

void
ChannelHealth::OnUp(Millis aNow)
{
  mState = ChannelState::Greeting;
  mLastSentAt = aNow;
  mLastDeliveredAt = aNow;
  mProbeSentAt.reset();
}

void
ChannelHealth::OnDown(Millis aNow)
{
  if (mState != ChannelState::Down) {
    mDownSince = aNow;
  }
  mState = ChannelState::Down;
}

void
ChannelHealth::OnWelcome(Millis aNow)
{
  mState = ChannelState::Ready;
  mLastDeliveredAt = aNow;
}

void
ChannelHealth::OnProbeSent(Millis aNow)
{
  mProbeSentAt = aNow;
}

std::optional<Millis>
ChannelHealth::OnProbeAnswered(Millis aNow)
{
  const std::optional<Millis> sentAt =
    std::exchange(mProbeSentAt, std::nullopt);
  if (!sentAt) {
    return std::nullopt;
  }
  OnDelivered(*sentAt);
  return aNow - *sentAt;
}

void
ChannelHealth::OnDelivered(Millis aSentAt)
{
  mLastDeliveredAt = std::max(mLastDeliveredAt, aSentAt);
}

void
ChannelHealth::OnSent(Millis aNow)
{
  mLastSentAt = aNow;
}

void
ChannelHealth::SetAwaitingReply(bool aAwaiting, Millis aNow)
{
  if (aAwaiting && !mAwaitingReply) {
    mAwaitingSince = aNow;
  }
  mAwaitingReply = aAwaiting;
}

Millis
ChannelHealth::NextWake() const
{
  return std::min({ SilentAt(), HeartbeatAt(), ProbeAt() });
}

Millis
ChannelHealth::SilentAt() const
{
  if (mState == ChannelState::Down) {
    return Millis::Never();
  }
  if (mState == ChannelState::Greeting) {
    return mLastDeliveredAt + mTimeouts.mSilence;
  }
  if (mAwaitingReply) {
    return std::max(mLastDeliveredAt, mAwaitingSince) + mTimeouts.mSilence;
  }
  return mLastDeliveredAt + mTimeouts.mIdleHeartbeat * kMaxMissedIdleProbes +
         mTimeouts.mSilence;
}

Millis
ChannelHealth::HeartbeatAt() const
{
  return mState == ChannelState::Ready ? mLastSentAt + ProbeInterval()
                                       : Millis::Never();
}

Millis
ChannelHealth::ProbeAt() const
{
  if (mState != ChannelState::Ready || mProbeSentAt) {
    return Millis::Never();
  }
  return mLastDeliveredAt + ProbeInterval();
}

Millis
ChannelHealth::ProbeInterval() const
{
  return mAwaitingReply ? mTimeouts.mHeartbeat : mTimeouts.mIdleHeartbeat;
}

} // namespace trefoilarch
