#include "channelhealth.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** Idle heartbeats that may be missed before a channel counts as silent. */
constexpr int64_t kIdleMisses = 2;

} // namespace

ChannelHealth::ChannelHealth(ChannelSpans aSpans)
  : mSpans(aSpans)
{
}

void
ChannelHealth::OnUp(Millis aNow)
{
  mState = ChannelState::Greeting;
  mLastHeard = aNow;
  mLastSent = aNow;
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
  mLastHeard = aNow;
}

void
ChannelHealth::OnHeard(Millis aNow)
{
  mLastHeard = aNow;
}

void
ChannelHealth::OnSent(Millis aNow)
{
  mLastSent = aNow;
}

void
ChannelHealth::SetStake(bool aStake, Millis aNow)
{
  if (aStake && !mStake) {
    mStakeSince = aNow;
  }
  mStake = aStake;
}

Millis
ChannelHealth::NextWake() const
{
  return std::min(SilentAt(), HeartbeatAt());
}

Millis
ChannelHealth::SilentAt() const
{
  if (mState == ChannelState::Down) {
    return Millis::Never();
  }
  if (mState == ChannelState::Greeting) {
    return mLastHeard + mSpans.mSilence;
  }
  if (mStake) {
    return std::max(mLastHeard, mStakeSince) + mSpans.mSilence;
  }
  return mLastHeard + mSpans.mIdleHeartbeat * kIdleMisses + mSpans.mSilence;
}

Millis
ChannelHealth::HeartbeatAt() const
{
  if (mState != ChannelState::Ready) {
    return Millis::Never();
  }
  return mLastSent + (mStake ? mSpans.mHeartbeat : mSpans.mIdleHeartbeat);
}

} // namespace trefoilarch
