#include "connectionwatch.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace trefoilio {

namespace {

constexpr std::chrono::milliseconds kTick{ 50 };
/** How long a refused sender may go on while it reads its answer. */
constexpr std::chrono::milliseconds kLinger{ 1000 };

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
                                 AnswerMaker aMakeAnswer)
  : mOptions(aOptions)
  , mMakeAnswer(std::move(aMakeAnswer))
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
    mConnections[aSocket] = Connection{ .mSince = Clock::now() };
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
ConnectionWatch::RequestBegan(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Idle) {
    connection.mState = State::Receiving;
    connection.mSince = Clock::now();
  }
}

bool
ConnectionWatch::RequestWhole(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Refused) {
    return false;
  }
  connection.mState = State::Answering;
  return true;
}

bool
ConnectionWatch::RequestOver(int aSocket)
{
  std::lock_guard lock(mMutex);
  Connection& connection = mConnections[aSocket];
  if (connection.mState == State::Refused) {
    return true;
  }
  connection.mState = State::Idle;
  connection.mSince = Clock::now();
  connection.mBytesBefore = BytesReceived(aSocket);
  return false;
}

bool
ConnectionWatch::Crowded() const
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
    mChanged.wait_for(lock, kTick, [this] { return mStop; });
    const Clock::time_point now = Clock::now();
    for (auto& [socket, connection] : mConnections) {
      LookAt(socket, connection, now);
    }
  }
}

void
ConnectionWatch::LookAt(int aSocket,
                        Connection& aConnection,
                        Clock::time_point aNow)
{
  const auto age = aNow - aConnection.mSince;
  switch (aConnection.mState) {
    case State::Idle:
      LookAtIdle(aSocket, aConnection, aNow);
      break;
    case State::Receiving:
      if (BytesReceived(aSocket) - aConnection.mBytesBefore >
          mOptions.mMostRequestBytes) {
        Refuse(aSocket, aConnection, WatchVerdict::TooManyBytes);
      } else if (age > mOptions.mReceiveSpan) {
        Refuse(aSocket, aConnection, WatchVerdict::TooSlow);
      }
      break;
    case State::Refused:
      if (age > kLinger) {
        shutdown(aSocket, SHUT_RDWR);
      }
      break;
    case State::Answering:
      break;
  }
}

void
ConnectionWatch::LookAtIdle(int aSocket,
                            Connection& aConnection,
                            Clock::time_point aNow)
{
  const auto age = aNow - aConnection.mSince;
  if (age > mOptions.mIdleSpan) {
    shutdown(aSocket, SHUT_RDWR);
    return;
  }
  const bool worthAsking = age > mOptions.mReceiveSpan;
  if (worthAsking && BytesReceived(aSocket) > aConnection.mBytesBefore) {
    Refuse(aSocket, aConnection, WatchVerdict::TooSlow);
  }
}

void
ConnectionWatch::Refuse(int aSocket,
                        Connection& aConnection,
                        WatchVerdict aVerdict)
{
  const std::string answer = mMakeAnswer(aVerdict);
  send(aSocket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(aSocket, SHUT_WR);
  aConnection.mState = State::Refused;
  aConnection.mSince = Clock::now();
}

void
ConnectionWatch::CloseOldestIdle()
{
  auto oldest = mConnections.end();
  for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
    if (it->second.mState == State::Idle &&
        (oldest == mConnections.end() ||
         it->second.mSince < oldest->second.mSince)) {
      oldest = it;
    }
  }
  if (oldest != mConnections.end()) {
    shutdown(oldest->first, SHUT_RDWR);
  }
}

} // namespace trefoilio
