#include "connectionwatch.h"

#include <algorithm>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace trefoilio {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 50 };
/** While requests are received, as they may bring many bytes at once. */
constexpr std::chrono::milliseconds kReceivingCheckInterval{ 2 };
/** How long a rejected sender may keep its connection to read the response. */
constexpr std::chrono::milliseconds kRejectLinger{ 1000 };

uint64_t
BytesReceived(int aSocket)
{
  tcp_info info{};
  socklen_t length = sizeof info;
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received;
}

} // namespace

bool
PeerLeft(int aSocket)
{
  pollfd entry{ .fd = aSocket, .events = POLLRDHUP, .revents = 0 };
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

ConnectionWatch::ConnectionWatch(ConnectionWatchOptions aOptions,
                                 ResponseBuilder aBuildResponse)
  : mOptions(aOptions)
  , mBuildResponse(std::move(aBuildResponse))
  , mThread([this] { Run(); })
{
}

ConnectionWatch::~ConnectionWatch()
{
  {
    std::lock_guard lock(mMutex);
    mStop = true;
  }
  mChanged.notify_all();
  mThread.join();
}

void
ConnectionWatch::Opened(int aSocket)
{
  {
    std::lock_guard lock(mMutex);
    if (mConnections.size() >= mOptions.mMaxConnections) {
      CloseOldestIdle();
    }
    mConnections[aSocket] = Connection{ .mStateSince = Clock::now() };
  }
  mChanged.notify_one();
}

void
ConnectionWatch::Closed(int aSocket)
{
  std::lock_guard lock(mMutex);
  mConnections.erase(aSocket);
}

void
ConnectionWatch::RequestStarted(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Idle) {
    connection.mState = State::Receiving;
    connection.mStateSince = Clock::now();
    if (!std::exchange(mReceiving, true)) {
      mChanged.notify_one();
    }
  }
}

bool
ConnectionWatch::RequestComplete(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Rejected) {
    return false;
  }
  connection.mState = State::Answering;
  return true;
}

bool
ConnectionWatch::ResponseFinished(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Rejected) {
    return true;
  }
  connection.mState = State::Idle;
  connection.mStateSince = Clock::now();
  connection.mPreviousBytes = BytesReceived(aSocket);
  connection.mRequestBytes = 0;
  return false;
}

bool
ConnectionWatch::OverLimit() const
{
  std::lock_guard lock(mMutex);
  return mConnections.size() > mOptions.mMaxConnections;
}

void
ConnectionWatch::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStop) {
    mChanged.wait(lock, [this] { return mStop || !mConnections.empty(); });
    if (mReceiving) {
      mChanged.wait_for(
        lock, kReceivingCheckInterval, [this] { return mStop; });
    } else {
      mChanged.wait_for(
        lock, kCheckInterval, [this] { return mStop || mReceiving; });
    }
    const Clock::time_point now = Clock::now();
    mReceiving = false;
    for (auto& [socket, connection] : mConnections) {
      CheckConnection(socket, connection, now);
      mReceiving = mReceiving || connection.mState == State::Receiving;
    }
    BoundTotal();
  }
}

uint64_t
ConnectionWatch::TotalBytes() const
{
  uint64_t total = 0;
  for (const auto& [socket, connection] : mConnections) {
    total += connection.mRequestBytes;
  }
  return total;
}

void
ConnectionWatch::BoundTotal()
{
  uint64_t total = TotalBytes();
  if (total <= mOptions.mMaxTotalBytes) {
    return;
  }
  std::vector<std::pair<uint64_t, int>> largest;
  for (const auto& [socket, connection] : mConnections) {
    if (connection.mState == State::Receiving) {
      largest.emplace_back(connection.mRequestBytes, socket);
    }
  }
  std::sort(largest.rbegin(), largest.rend());
  // Some room, as the others go on to receive.
  const uint64_t wanted = mOptions.mMaxTotalBytes / 2;
  const uint64_t share = wanted / mOptions.mMaxConnections;
  for (const auto& [bytes, socket] : largest) {
    if (total <= wanted || bytes <= share) {
      return;
    }
    Reject(socket, mConnections[socket], RejectReason::NoMemory);
    // At once, as the memory is released only when the connection ends.
    shutdown(socket, SHUT_RDWR);
    total -= bytes;
  }
}

void
ConnectionWatch::CheckConnection(int aSocket,
                                 Connection& aConnection,
                                 Clock::time_point aNow)
{
  const auto age = aNow - aConnection.mStateSince;
  switch (aConnection.mState) {
    case State::Idle:
      CheckIdle(aSocket, aConnection, aNow);
      break;
    case State::Receiving:
      aConnection.mRequestBytes =
        BytesReceived(aSocket) - aConnection.mPreviousBytes;
      if (aConnection.mRequestBytes > mOptions.mMaxRequestBytes) {
        Reject(aSocket, aConnection, RejectReason::TooManyBytes);
      } else if (age > mOptions.mReceiveTimeout) {
        Reject(aSocket, aConnection, RejectReason::TooSlow);
      }
      break;
    case State::Rejected:
      if (age > kRejectLinger) {
        shutdown(aSocket, SHUT_RDWR);
      }
      break;
    case State::Answering:
      break;
  }
}

void
ConnectionWatch::CheckIdle(int aSocket,
                           Connection& aConnection,
                           Clock::time_point aNow)
{
  const auto age = aNow - aConnection.mStateSince;
  if (age > mOptions.mIdleTimeout) {
    shutdown(aSocket, SHUT_RDWR);
    return;
  }
  const bool receiveTimedOut = age > mOptions.mReceiveTimeout;
  if (receiveTimedOut && BytesReceived(aSocket) > aConnection.mPreviousBytes) {
    Reject(aSocket, aConnection, RejectReason::TooSlow);
  }
}

void
ConnectionWatch::Reject(int aSocket,
                        Connection& aConnection,
                        RejectReason aReason)
{
  const std::string response = mBuildResponse(aReason);
  send(aSocket, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_WR);
  aConnection.mState = State::Rejected;
  aConnection.mStateSince = Clock::now();
}

void
ConnectionWatch::CloseOldestIdle()
{
  auto oldest = mConnections.end();
  for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
    if (it->second.mState == State::Idle &&
        (oldest == mConnections.end() ||
         it->second.mStateSince < oldest->second.mStateSince)) {
      oldest = it;
    }
  }
  if (oldest != mConnections.end()) {
    shutdown(oldest->first, SHUT_RDWR);
  }
}

} // namespace trefoilio
