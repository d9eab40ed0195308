#include "channelhealth.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Idle probes that may go unanswered before a channel counts as silent. */
constexpr int64_t kIdleMisses = 2;

} // namespace

ChannelHealth::ChannelHealth(ChannelTimeouts aSpans)
  : mSpans(aSpans)
{
}

void
ChannelHealth::OnUp(Millis aNow)
{
  mState = ChannelState::Greeting;
  mLastSent = aNow;
  mProven = aNow;
  mProbe.reset();
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
  mProven = aNow;
}

void
ChannelHealth::OnProbeSent(Millis aNow)
{
  mProbe = aNow;
}

std::optional<Millis>
ChannelHealth::OnProbeAnswered(Millis aNow)
{
  const std::optional<Millis> sentAt = std::exchange(mProbe, std::nullopt);
  if (!sentAt) {
    return std::nullopt;
  }
  OnProven(*sentAt);
  return aNow - *sentAt;
}

void
ChannelHealth::OnProven(Millis aSentAt)
{
  mProven = std::max(mProven, aSentAt);
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
  return std::min({ SilentAt(), HeartbeatAt(), ProbeAt() });
}

Millis
ChannelHealth::SilentAt() const
{
  if (mState == ChannelState::Down) {
    return Millis::Never();
  }
  if (mState == ChannelState::Greeting) {
    return mProven + mSpans.mSilence;
  }
  if (mStake) {
    return std::max(mProven, mStakeSince) + mSpans.mSilence;
  }
  return mProven + mSpans.mIdleHeartbeat * kIdleMisses + mSpans.mSilence;
}

Millis
ChannelHealth::HeartbeatAt() const
{
  return mState == ChannelState::Ready ? mLastSent + Interval()
                                       : Millis::Never();
}

Millis
ChannelHealth::ProbeAt() const
{
  if (mState != ChannelState::Ready || mProbe) {
    return Millis::Never();
  }
  return mProven + Interval();
}

Millis
ChannelHealth::Interval() const
{
  return mStake ? mSpans.mHeartbeat : mSpans.mIdleHeartbeat;
}

} // namespace trefoilarch
