#include "link.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <sys/socket.h>

namespace standin {

namespace {

constexpr size_t kMaxBufferedBytes = 4 * 1024 * 1024;

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
Link::Socket(Direction aReadDirection) const
{
  return FlowOf(aReadDirection).mFrom.Value();
}

short
Link::Events(Direction aReadDirection,
             const LinkFaults& aFaults,
             int64_t aNow) const
{
  const Flow& readFlow = FlowOf(aReadDirection);
  const Flow& writeFlow = FlowOf(Opposite(aReadDirection));
  short events = 0;
  if (!readFlow.mEnded && readFlow.mBufferedBytes < kMaxBufferedBytes) {
    events |= POLLIN;
  }
  const bool due =
    !writeFlow.mChunks.empty() && writeFlow.mChunks.front().mDueTime <= aNow;
  if (due && aFaults.mThrottle == 0) {
    events |= POLLOUT;
  }
  return events;
}

void
Link::ReceiveIfReady(Direction aDirection,
                     short aReady,
                     const LinkFaults& aFaults,
                     LinkCounts& aCounts,
                     int64_t aNow)
{
  if ((aReady & (POLLIN | POLLHUP | POLLERR)) != 0 &&
      !FlowOf(aDirection).mEnded) {
    Receive(aDirection, aFaults, aCounts, aNow);
  }
}

void
Link::Receive(Direction aDirection,
              const LinkFaults& aFaults,
              LinkCounts& aCounts,
              int64_t aNow)
{
  Flow& flow = FlowOf(aDirection);
  std::array<char, 64 * 1024> bytes;
  const ssize_t received =
    recv(flow.mFrom.Value(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (received <= 0) {
    flow.mEnded = true;
    return;
  }
  const size_t count = static_cast<size_t>(received);
  if (flow.mDiscarding) {
    aCounts.mDiscardedBytes += count;
    return;
  }
  flow.mChunks.push_back({ .mDueTime = aNow + aFaults.mDelay,
                           .mBytes = std::string(bytes.data(), count) });
  flow.mBufferedBytes += count;
}

size_t
Link::Allowed(Flow& aFlow, const LinkFaults& aFaults, int64_t aNow) const
{
  if (aFaults.mThrottle == 0) {
    return std::numeric_limits<size_t>::max();
  }
  constexpr double kMillisPerSecond = 1000;
  const double rate = static_cast<double>(aFaults.mThrottle);
  const double elapsed =
    static_cast<double>(aFlow.mRefillTime == 0 ? 0 : aNow - aFlow.mRefillTime);
  aFlow.mRefillTime = aNow;
  aFlow.mAllowance = std::min(
    rate / 4 + 1, aFlow.mAllowance + rate * elapsed / kMillisPerSecond);
  return static_cast<size_t>(aFlow.mAllowance);
}

void
Link::Flush(Direction aDirection,
            const LinkFaults& aFaults,
            LinkCounts& aCounts,
            int64_t aNow)
{
  Flow& flow = FlowOf(aDirection);
  const int destination = Socket(Opposite(aDirection));
  size_t allowed = Allowed(flow, aFaults, aNow);
  while (!mCut && destination >= 0 && !flow.mChunks.empty() && allowed > 0 &&
         flow.mChunks.front().mDueTime <= aNow) {
    std::string& bytes = flow.mChunks.front().mBytes;
    size_t maxBytes = std::min(bytes.size(), allowed);
    const bool limited =
      aDirection == Direction::Down && aFaults.mCutAfter != 0;
    const uint64_t limit = static_cast<uint64_t>(aFaults.mCutAfter);
    if (limited) {
      maxBytes =
        std::min<size_t>(maxBytes, limit > mSentDown ? limit - mSentDown : 0);
    }
    const ssize_t sent =
      send(destination, bytes.data(), maxBytes, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        FlowOf(Opposite(aDirection)).mEnded = true;
        flow.mChunks.clear();
        flow.mBufferedBytes = 0;
      }
      return;
    }
    const size_t count = static_cast<size_t>(sent);
    bytes.erase(0, count);
    flow.mBufferedBytes -= count;
    allowed -= std::min(allowed, count);
    flow.mAllowance -= static_cast<double>(count);
    (aDirection == Direction::Up ? aCounts.mBytesUp : aCounts.mBytesDown) +=
      count;
    mSentDown += aDirection == Direction::Down ? count : 0;
    if (limited && mSentDown >= limit) {
      ++aCounts.mCuts;
      Cut();
      return;
    }
    if (bytes.empty()) {
      flow.mChunks.pop_front();
    }
  }
  if (flow.mEnded && flow.mChunks.empty()) {
    ForwardEnd(aDirection);
  }
}

void
Link::ForwardEnd(Direction aDirection)
{
  Flow& flow = FlowOf(aDirection);
  const int destination = Socket(Opposite(aDirection));
  if (flow.mEndForwarded || flow.mDiscarding) {
    return;
  }
  flow.mEndForwarded = true;
  if (destination >= 0) {
    shutdown(destination, SHUT_WR);
  }
}

int64_t
Link::NextDue() const
{
  int64_t due = std::numeric_limits<int64_t>::max();
  for (const Flow* flow : { &mUp, &mDown }) {
    if (!flow->mChunks.empty()) {
      due = std::min(due, flow->mChunks.front().mDueTime);
    }
  }
  return due;
}

void
Link::Silence(Direction aDirection)
{
  Flow& flow = FlowOf(aDirection);
  flow.mDiscarding = true;
  flow.mChunks.clear();
  flow.mBufferedBytes = 0;
}

void
Link::HalfOpen(Direction aSide)
{
  Silence(Direction::Up);
  Silence(Direction::Down);
  Flow& closed = FlowOf(Opposite(aSide));
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
Link::Finished() const
{
  const bool nothingBuffered = mUp.mChunks.empty() && mDown.mChunks.empty();
  return mCut || (mUp.mEnded && mDown.mEnded && nothingBuffered);
}

} // namespace standin
