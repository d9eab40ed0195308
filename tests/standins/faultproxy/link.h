#pragma once

#include "linkfaults.h"
#include "uniquefd.h"

#include <cstdint>
#include <deque>
#include <poll.h>
#include <string>

namespace standin {

/** One relayed connection: the client's socket and the target's. */
class Link
{
public:
  Link(UniqueFd aClient, UniqueFd aTarget);

  /** Returns the poll events for the socket that this direction reads from. */
  short Events(Direction aReadDirection,
               const LinkFaults& aFaults,
               int64_t aNow) const;
  int Socket(Direction aReadDirection) const;
  /** Receives after a poll if aReady allows; times are in milliseconds. */
  void ReceiveIfReady(Direction aDirection,
                      short aReady,
                      const LinkFaults& aFaults,
                      LinkCounts& aCounts,
                      int64_t aNow);
  /** Forwards the bytes that are due. */
  void Flush(Direction aDirection,
             const LinkFaults& aFaults,
             LinkCounts& aCounts,
             int64_t aNow);
  /** Returns when the next delayed bytes are due; INT64_MAX: none. */
  int64_t NextDue() const;

  /** Discards all further bytes of that direction; closes nothing. */
  void Silence(Direction aDirection);
  /** Resets one socket; the other one stays open, without traffic. */
  void HalfOpen(Direction aSide);
  /** Resets both sides. */
  void Cut();
  bool Finished() const;

private:
  struct Chunk
  {
    int64_t mDueTime = 0;
    std::string mBytes;
  };
  struct Flow
  {
    UniqueFd mFrom; /**< socket that this direction reads from */
    std::deque<Chunk> mChunks;
    size_t mBufferedBytes = 0; /**< total size of mChunks */
    bool mDiscarding = false;
    bool mEnded = false; /**< the sender has closed */
    bool mEndForwarded = false;
    double mAllowance = 0; /**< bytes that the throttle permits */
    int64_t mRefillTime = 0;
  };

  Flow& FlowOf(Direction aDirection)
  {
    return aDirection == Direction::Up ? mUp : mDown;
  }
  const Flow& FlowOf(Direction aDirection) const
  {
    return aDirection == Direction::Up ? mUp : mDown;
  }
  static Direction Opposite(Direction aDirection)
  {
    return aDirection == Direction::Up ? Direction::Down : Direction::Up;
  }
  void Receive(Direction aDirection,
               const LinkFaults& aFaults,
               LinkCounts& aCounts,
               int64_t aNow);
  /** Returns how many bytes the throttle permits now. */
  size_t Allowed(Flow& aFlow, const LinkFaults& aFaults, int64_t aNow) const;
  void ForwardEnd(Direction aDirection);

  Flow mUp;
  Flow mDown;
  uint64_t mSentDown = 0;
  bool mCut = false;
};

} // namespace standin
