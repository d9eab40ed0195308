#include "connectionwatch.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace trefoilio {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{ 50 };
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
    mChanged.wait_for(lock, kCheckInterval, [this] { return mStop; });
    const Clock::time_point now = Clock::now();
    for (auto& [socket, connection] : mConnections) {
      CheckConnection(socket, connection, now);
    }
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
      if (BytesReceived(aSocket) - aConnection.mPreviousBytes >
          mOptions.mMaxRequestBytes) {
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
