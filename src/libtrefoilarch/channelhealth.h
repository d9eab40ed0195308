#pragma once

#include "millis.h"

#include <cstdint>

namespace trefoilarch {

/** The spans by which a channel is judged. */
struct ChannelSpans
{
  /** Silence after which a channel with something at stake is replaced. */
  Millis mSilence{ 1500 };
  Millis mHeartbeat{ 500 };
  /** Heartbeats while nothing is at stake. */
  Millis mIdleHeartbeat{ 5000 };
};

/** How far a channel has come. */
enum class ChannelState : uint8_t
{
  Down,
  Greeting, /**< open, and no Welcome yet */
  Ready,
};

/**
 * Judges one channel by what is heard on it, since a connection that
 * something between its ends has forgotten stays open for TCP. Silence
 * counts from when something came to be at stake, as an idle peer is allowed
 * to be quiet for longer.
 */
class ChannelHealth
{
public:
  explicit ChannelHealth(ChannelSpans aSpans);

  void OnUp(Millis aNow);
  void OnDown(Millis aNow);
  void OnWelcome(Millis aNow);
  void OnHeard(Millis aNow);
  void OnSent(Millis aNow);
  /** Whether anything waits for this channel's peer. */
  void SetStake(bool aStake, Millis aNow);

  ChannelState State() const { return mState; }
  /** When the state last became Down. */
  Millis DownSince() const { return mDownSince; }
  /** The channel is open, yet nothing comes that should have come. */
  bool Silent(Millis aNow) const { return aNow >= SilentAt(); }
  bool HeartbeatDue(Millis aNow) const { return aNow >= HeartbeatAt(); }
  Millis NextWake() const;

private:
  Millis SilentAt() const;
  Millis HeartbeatAt() const;

  ChannelSpans mSpans;
  ChannelState mState = ChannelState::Down;
  Millis mDownSince;
  Millis mLastHeard;
  Millis mLastSent;
  bool mStake = false;
  Millis mStakeSince;
};

} // namespace trefoilarch
