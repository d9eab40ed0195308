#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>

namespace trefoilarch {

/** Timeouts and intervals of a channel. */
struct ChannelTimeouts
{
  /** Silence after which a channel that awaits a reply is replaced. */
  Millis mSilence{ 1500 };
  Millis mHeartbeat{ 500 };
  /** Heartbeat interval while no reply is awaited. */
  Millis mIdleHeartbeat{ 5000 };
};

/** Connection state of a channel. */
enum class ChannelState : uint8_t
{
  Down,
  Greeting, /**< open, but no Welcome received yet */
  Ready,
};

/**
 * Judges a channel by what the peer is known to have received. TCP keeps a
 * connection open that a device on the path has dropped, and a connection may
 * fail in one direction only. A reply proves that the message it answers was
 * delivered. If nothing was proven for a heartbeat interval, a probe is due.
 * Silence is counted from the moment when a reply was first awaited, because
 * idle channels are probed less often.
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
  /** The peer answered a probe. Returns the round-trip time. */
  std::optional<Millis> OnProbeAnswered(Millis aNow);
  /** The peer answered a message that was sent at aSentAt. */
  void OnDelivered(Millis aSentAt);
  /** Sets whether a reply from the peer is awaited. */
  void SetAwaitingReply(bool aAwaiting, Millis aNow);

  ChannelState State() const { return mState; }
  /** When the state last became Down. */
  Millis DownSince() const { return mDownSince; }
  /** Whether the channel is open but expected replies are missing. */
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
  /**
   * When the newest message was sent that the peer is known to have received.
   */
  Millis mLastDeliveredAt;
  /** When the outstanding probe was sent, if there is one. */
  std::optional<Millis> mProbeSentAt;
  bool mAwaitingReply = false;
  Millis mAwaitingSince;
};

} // namespace trefoilarch
