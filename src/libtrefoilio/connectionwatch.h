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

/** Limits of a ConnectionWatch; durations use the steady clock. */
struct ConnectionWatchOptions
{
  uint64_t mMaxRequestBytes = 0;
  std::chrono::milliseconds mReceiveTimeout{ 10000 };
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  size_t mMaxConnections = 1000;
  /** Maximum bytes of all requests that are received or answered. */
  uint64_t mMaxTotalBytes = 67108864;
};

/** Why a request was rejected before it was received completely. */
enum class RejectReason
{
  TooManyBytes,
  TooSlow,
  NoMemory, /**< all requests together exceed mMaxTotalBytes */
};

/**
 * Enforces receive limits on a server's connections from its own thread,
 * since libmicrohttpd has only an idle timeout and reads bodies of any
 * length. Rejects requests that arrive too slowly or are too large with a
 * response, and closes connections that are idle for too long. If all requests
 * together take too many bytes, the largest that are incomplete are rejected.
 * Received byte counts come from the operating system (TCP_INFO).
 */
class ConnectionWatch
{
public:
  /** Builds the complete response, head and body, of a rejected request. */
  using ResponseBuilder = std::function<std::string(RejectReason)>;

  ConnectionWatch(ConnectionWatchOptions aOptions,
                  ResponseBuilder aBuildResponse);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  /** Registers a new connection, idle until its first request. */
  void Opened(int aSocket);

  /** Unregisters a connection; call before its socket is closed. */
  void Closed(int aSocket);

  /** Call when the first line of a request has been received. */
  void RequestStarted(int aSocket);

  /** Call when a request is complete; returns false if it was rejected. */
  bool RequestComplete(int aSocket);

  /** Call when a response has ended; returns true if it was a rejection. */
  bool ResponseFinished(int aSocket);

  /** Returns true if more connections are open than allowed. */
  bool OverLimit() const;

private:
  using Clock = std::chrono::steady_clock;

  enum class State
  {
    Idle,
    Receiving,
    Answering,
    Rejected,
  };

  struct Connection
  {
    State mState = State::Idle;
    Clock::time_point mStateSince;
    uint64_t mPreviousBytes = 0;
    /** Of the current request, as last checked. */
    uint64_t mRequestBytes = 0;
  };

  void Run();
  void CheckConnection(int aSocket,
                       Connection& aConnection,
                       Clock::time_point aNow);
  /** Beyond mMaxTotalBytes, rejects the largest incomplete requests until half
   * of it is left; none within an equal share of that half, as rejected ones
   * count until they end. */
  void BoundTotal();
  uint64_t TotalBytes() const;
  void CheckIdle(int aSocket, Connection& aConnection, Clock::time_point aNow);
  void Reject(int aSocket, Connection& aConnection, RejectReason aReason);
  void CloseOldestIdle();

  const ConnectionWatchOptions mOptions;
  const ResponseBuilder mBuildResponse;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStop = false;
  /** A request is being received. */
  bool mReceiving = false;
  std::unordered_map<int, Connection> mConnections;
  std::thread mThread;
};

/** Returns true once the peer has closed its end or the connection failed. */
bool
PeerLeft(int aSocket);

} // namespace trefoilio
