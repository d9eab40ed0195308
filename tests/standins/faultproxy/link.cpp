#include "link.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <sys/socket.h>

namespace standin {

namespace {

constexpr size_t kMostHeld = 4 * 1024 * 1024;

void
Reset(UniqueFd& aSocket)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aSocket.Value(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  aSocket.Close();
}

} // namespace

Link::Link(UniqueFd aClient, UniqueFd aTarget)
{
  mUp.mFrom = std::move(aClient);
  mDown.mFrom = std::move(aTarget);
}

int
Link::Socket(Way aReadsFor) const
{
  return Of(aReadsFor).mFrom.Value();
}

short
Link::Events(Way aReadsFor, const LinkFaults& aFaults, int64_t aNow) const
{
  const Flow& reads = Of(aReadsFor);
  const Flow& writes = Of(Other(aReadsFor));
  short events = 0;
  if (!reads.mEnded && reads.mHeld < kMostHeld) {
    events |= POLLIN;
  }
  const bool due =
    !writes.mPieces.empty() && writes.mPieces.front().mDue <= aNow;
  if (due && aFaults.mThrottle == 0) {
    events |= POLLOUT;
  }
  return events;
}

void
Link::Move(Way aWay,
           short aReady,
           const LinkFaults& aFaults,
           LinkCounts& aCounts,
           int64_t aNow)
{
  if ((aReady & (POLLIN | POLLHUP | POLLERR)) != 0 && !Of(aWay).mEnded) {
    Receive(aWay, aFaults, aCounts, aNow);
  }
}

void
Link::Receive(Way aWay,
              const LinkFaults& aFaults,
              LinkCounts& aCounts,
              int64_t aNow)
{
  Flow& flow = Of(aWay);
  std::array<char, 64 * 1024> bytes;
  const ssize_t got =
    recv(flow.mFrom.Value(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (got <= 0) {
    flow.mEnded = true;
    return;
  }
  const size_t count = static_cast<size_t>(got);
  if (flow.mSilent) {
    aCounts.mSwallowed += count;
    return;
  }
  flow.mPieces.push_back({ .mDue = aNow + aFaults.mDelay,
                           .mBytes = std::string(bytes.data(), count) });
  flow.mHeld += count;
}

size_t
Link::Allowed(Flow& aFlow, const LinkFaults& aFaults, int64_t aNow) const
{
  if (aFaults.mThrottle == 0) {
    return std::numeric_limits<size_t>::max();
  }
  constexpr double kMillisPerSecond = 1000;
  const double rate = static_cast<double>(aFaults.mThrottle);
  const double since =
    static_cast<double>(aFlow.mRefilled == 0 ? 0 : aNow - aFlow.mRefilled);
  aFlow.mRefilled = aNow;
  aFlow.mAllowance =
    std::min(rate / 4 + 1, aFlow.mAllowance + rate * since / kMillisPerSecond);
  return static_cast<size_t>(aFlow.mAllowance);
}

void
Link::Flush(Way aWay,
            const LinkFaults& aFaults,
            LinkCounts& aCounts,
            int64_t aNow)
{
  Flow& flow = Of(aWay);
  const int to = Socket(Other(aWay));
  size_t allowed = Allowed(flow, aFaults, aNow);
  while (!mCut && to >= 0 && !flow.mPieces.empty() && allowed > 0 &&
         flow.mPieces.front().mDue <= aNow) {
    std::string& bytes = flow.mPieces.front().mBytes;
    size_t most = std::min(bytes.size(), allowed);
    const bool limited = aWay == Way::Down && aFaults.mCutAfter != 0;
    const uint64_t limit = static_cast<uint64_t>(aFaults.mCutAfter);
    if (limited) {
      most = std::min<size_t>(most, limit > mSentDown ? limit - mSentDown : 0);
    }
    const ssize_t sent =
      send(to, bytes.data(), most, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Of(Other(aWay)).mEnded = true;
        flow.mPieces.clear();
        flow.mHeld = 0;
      }
      return;
    }
    const size_t count = static_cast<size_t>(sent);
    bytes.erase(0, count);
    flow.mHeld -= count;
    allowed -= std::min(allowed, count);
    flow.mAllowance -= static_cast<double>(count);
    (aWay == Way::Up ? aCounts.mBytesUp : aCounts.mBytesDown) += count;
    mSentDown += aWay == Way::Down ? count : 0;
    if (limited && mSentDown >= limit) {
      ++aCounts.mCuts;
      Cut();
      return;
    }
    if (bytes.empty()) {
      flow.mPieces.pop_front();
    }
  }
  if (flow.mEnded && flow.mPieces.empty()) {
    PassEnd(aWay);
  }
}

void
Link::PassEnd(Way aWay)
{
  Flow& flow = Of(aWay);
  const int to = Socket(Other(aWay));
  if (flow.mPassedEnd || flow.mSilent) {
    return;
  }
  flow.mPassedEnd = true;
  if (to >= 0) {
    shutdown(to, SHUT_WR);
  }
}

int64_t
Link::NextDue() const
{
  int64_t due = std::numeric_limits<int64_t>::max();
  for (const Flow* flow : { &mUp, &mDown }) {
    if (!flow->mPieces.empty()) {
      due = std::min(due, flow->mPieces.front().mDue);
    }
  }
  return due;
}

void
Link::Silence(Way aWay)
{
  Flow& flow = Of(aWay);
  flow.mSilent = true;
  flow.mPieces.clear();
  flow.mHeld = 0;
}

void
Link::HalfOpen(Way aSide)
{
  Silence(Way::Up);
  Silence(Way::Down);
  Flow& closed = Of(Other(aSide));
  Reset(closed.mFrom);
  closed.mEnded = true;
}

void
Link::Cut()
{
  mCut = true;
  Reset(mUp.mFrom);
  Reset(mDown.mFrom);
}

bool
Link::Over() const
{
  const bool nothingHeld = mUp.mPieces.empty() && mDown.mPieces.empty();
  return mCut || (mUp.mEnded && mDown.mEnded && nothingHeld);
}

} // namespace standin
