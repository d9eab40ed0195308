#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>

namespace trefoilarch {

/** The spans by which a channel is judged. */
struct ChannelTimeouts
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
 * Judges one channel by what the peer is known to have received, since a
 * connection that something between its ends has forgotten stays open for
 * TCP, and may be silent in one direction alone. An answer proves the
 * message that it answers; where nothing else did so for a heartbeat, a
 * probe is due. Silence counts from when something came to be at stake, as
 * an idle channel is probed more rarely.
 */
class ChannelHealth
{
public:
  explicit ChannelHealth(ChannelTimeouts aTimeouts);

  void OnUp(Millis aNow);
  void OnDown(Millis aNow);
  void OnWelcome(Millis aNow);
  void OnSent(Millis aNow);
  void OnProbeSent(Millis aNow);
  /** The peer answered a probe; gives the round trip. */
  std::optional<Millis> OnProbeAnswered(Millis aNow);
  /** The peer answered a message that was sent then. */
  void OnDelivered(Millis aSentAt);
  /** Whether anything waits for this channel's peer. */
  void SetAwaitingReply(bool aAwaiting, Millis aNow);

  ChannelState State() const { return mState; }
  /** When the state last became Down. */
  Millis DownSince() const { return mDownSince; }
  /** The channel is open, yet answers that should have come did not. */
  bool IsSilent(Millis aNow) const { return aNow >= SilentAt(); }
  bool IsHeartbeatDue(Millis aNow) const { return aNow >= HeartbeatAt(); }
  bool IsProbeDue(Millis aNow) const { return aNow >= ProbeAt(); }
  Millis NextWake() const;

private:
  Millis SilentAt() const;
  Millis HeartbeatAt() const;
  Millis ProbeAt() const;
  Millis ProbeInterval() const;

  ChannelTimeouts mTimeouts;
  ChannelState mState = ChannelState::Down;
  Millis mDownSince;
  Millis mLastSentAt;
  /** The newest message that the peer is known to have received. */
  Millis mLastDeliveredAt;
  /** The probe under way, if one is. */
  std::optional<Millis> mProbeSentAt;
  bool mAwaitingReply = false;
  Millis mAwaitingSince;
};

} // namespace trefoilarch
