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

  /** What to wait for on the client's and on the target's socket. */
  short Events(Way aReadsFor, const LinkFaults& aFaults, int64_t aNow) const;
  int Socket(Way aReadsFor) const;
  /** Moves what can be moved after a poll; times are milliseconds. */
  void Move(Way aWay,
            short aReady,
            const LinkFaults& aFaults,
            LinkCounts& aCounts,
            int64_t aNow);
  /** Sends on what is due. */
  void Flush(Way aWay,
             const LinkFaults& aFaults,
             LinkCounts& aCounts,
             int64_t aNow);
  /** When the next held-back bytes are due; INT64_MAX: none. */
  int64_t NextDue() const;

  /** From now on the bytes of that way are swallowed and nothing is closed. */
  void Silence(Way aWay);
  /** Closes that side alone; the other one is left open and silent. */
  void HalfOpen(Way aSide);
  /** Resets both sides. */
  void Cut();
  bool Over() const;

private:
  struct Piece
  {
    int64_t mDue = 0;
    std::string mBytes;
  };
  struct Flow
  {
    UniqueFd mFrom; /**< the socket that this way reads from */
    std::deque<Piece> mPieces;
    size_t mHeld = 0; /**< bytes in mPieces */
    bool mSilent = false;
    bool mEnded = false; /**< the sender has closed */
    bool mPassedEnd = false;
    double mAllowance = 0; /**< bytes that the throttle lets through */
    int64_t mRefilled = 0;
  };

  Flow& Of(Way aWay) { return aWay == Way::Up ? mUp : mDown; }
  const Flow& Of(Way aWay) const { return aWay == Way::Up ? mUp : mDown; }
  static Way Other(Way aWay) { return aWay == Way::Up ? Way::Down : Way::Up; }
  void Receive(Way aWay,
               const LinkFaults& aFaults,
               LinkCounts& aCounts,
               int64_t aNow);
  /** Bytes that may go now. */
  size_t Allowed(Flow& aFlow, const LinkFaults& aFaults, int64_t aNow) const;
  void PassEnd(Way aWay);

  Flow mUp;
  Flow mDown;
  uint64_t mSentDown = 0;
  bool mCut = false;
};

} // namespace standin
