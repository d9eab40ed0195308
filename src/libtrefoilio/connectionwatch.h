#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace trefoilio {

/** What a ConnectionWatch allows; times in steady clock terms. */
struct ConnectionWatchOptions
{
  uint64_t mMostRequestBytes = 0;
  std::chrono::milliseconds mReceiveSpan{ 10000 };
  std::chrono::milliseconds mIdleSpan{ 60000 };
  size_t mMaxConnections = 1000;
};

/** Why the watch refused a request that was still arriving. */
enum class WatchVerdict
{
  TooManyBytes,
  TooSlow,
};

/**
 * Looks after a server's connections on a thread of its own, since
 * libmicrohttpd knows only a timeout for idleness and reads a body whatever
 * its length: ends requests that arrive too slowly or grow too long, with an
 * answer, and connections that idle for too long. What a connection has
 * received is asked of the kernel (TCP_INFO).
 */
class ConnectionWatch
{
public:
  /** Makes the whole answer, head and body, that a refused request gets. */
  using AnswerMaker = std::function<std::string(WatchVerdict)>;

  ConnectionWatch(ConnectionWatchOptions aOptions, AnswerMaker aMakeAnswer);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  /** A connection is open; it idles until its first request. */
  void Opened(int aSocket);

  /** Called before the socket is closed. */
  void Closed(int aSocket);

  /** The first line of a request has arrived. */
  void RequestBegan(int aSocket);

  /** The request is whole; false where it was refused meanwhile. */
  bool RequestWhole(int aSocket);

  /** The answer is over; true where the watch had refused the request. */
  bool RequestOver(int aSocket);

  /** Whether more connections are open than allowed. */
  bool Crowded() const;

private:
  using Clock = std::chrono::steady_clock;

  enum class State
  {
    Idle,
    Receiving,
    Answering,
    Refused,
  };

  struct Connection
  {
    State mState = State::Idle;
    Clock::time_point mSince;
    uint64_t mBytesBefore = 0;
  };

  void Run();
  void LookAt(int aSocket, Connection& aConnection, Clock::time_point aNow);
  void LookAtIdle(int aSocket, Connection& aConnection, Clock::time_point aNow);
  void Refuse(int aSocket, Connection& aConnection, WatchVerdict aVerdict);
  void CloseOldestIdle();

  const ConnectionWatchOptions mOptions;
  const AnswerMaker mMakeAnswer;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStop = false;
  std::unordered_map<int, Connection> mConnections;
  std::thread mThread;
};

/** True once the peer has closed its end or the connection broke. */
bool
PeerLeft(int aSocket);

} // namespace trefoilio
