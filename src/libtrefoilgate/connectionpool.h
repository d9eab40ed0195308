#pragma once

#include "clientconnection.h"

#include "libtrefoilarch/ids.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilgate {

/** What a connection to an address has shown. */
enum class ProbeOutcome : uint8_t
{
  Accepted,
  Refused,
  Unanswered,
};

/** The result of ConnectionPool::Probe(). */
struct ProbeResult
{
  ProbeOutcome mOutcome = ProbeOutcome::Unanswered;
  /** When the last connection was attempted. */
  trefoilarch::Millis mStartedAt;
  /** When it was accepted. */
  trefoilarch::Millis mAcceptedAt;
};

/** Options of a ConnectionPool. */
struct PoolOptions
{
  /** In a region a handshake takes milliseconds, so longer attempts are given
   * up. */
  trefoilarch::Millis mConnectTimeout{ 250 };
  /** Idle connections are closed this long before the upstream closes them, so
   * that a request does not cross the upstream's close. */
  trefoilarch::Millis mIdleMargin{ 1000 };
  /** Used if the upstream announces no idle timeout. */
  trefoilarch::Millis mIdleTimeout{ 15000 };
  /** No connection is reused after this time, whatever was announced. */
  trefoilarch::Millis mMaxIdleTime{ 86400000 };
  KeepaliveOptions mKeepalive{};
  /** A connection to the upstream was refused at this address. */
  std::function<void(const trefoilarch::UpstreamId&, const std::string&)>
    mOnRefused = [](const trefoilarch::UpstreamId&, const std::string&) {};
  /** A new connection to the upstream was established at this address. */
  std::function<void(const trefoilarch::UpstreamId&, const std::string&)>
    mOnListening = [](const trefoilarch::UpstreamId&, const std::string&) {};
};

/** Kept-alive connections to upstreams, the most recently used first. */
class ConnectionPool
{
public:
  using Connection = std::shared_ptr<ClientConnection>;

  ConnectionPool(boost::asio::io_context& aLoop, PoolOptions aOptions);

  /**
   * Passes a connection to the upstream to the callback, or null if none can be
   * established. The callback may run at once.
   */
  void Acquire(const trefoilarch::UpstreamId& aUpstream,
               const std::string& aAddress,
               std::function<void(Connection)> aDone);

  using ProbeCallback = std::function<void(const ProbeResult&)>;

  /** Connects to the upstream to find out whether it listens, and keeps the
   * connection. A process that is ending may still accept a connection, so one
   * that fails or closes at once is followed by another. The result is of
   * connections that were attempted after this call. */
  void Probe(const trefoilarch::UpstreamId& aUpstream,
             const std::string& aAddress,
             ProbeCallback aDone);
  /** The same without a result, unless one is in progress. */
  void CheckListening(const trefoilarch::UpstreamId& aUpstream,
                      const std::string& aAddress);

  /** Takes back a connection whose call has ended. */
  void Release(const trefoilarch::UpstreamId& aUpstream,
               const Connection& aConnection);

  /** Handlers that discard the rest of an answer and then return the connection
   * to the pool; it is closed if the rest is long. */
  static CallHandlers DiscardHandlers(ConnectionPool& aPool,
                                      const trefoilarch::UpstreamId& aUpstream,
                                      const Connection& aConnection);

  /** Closes expired idle connections, all to upstreams no longer on the list,
   * and those beyond the maximum that have not been used for a while. */
  void Sweep(
    const std::function<bool(const trefoilarch::UpstreamId&)>& aListed,
    const std::function<size_t(const trefoilarch::UpstreamId&)>& aMaxIdle,
    trefoilarch::Millis aNow);
  /** Closes idle connections to an upstream whose process was restarted. */
  void CloseIdle(const trefoilarch::UpstreamId& aUpstream);
  void CloseAll();

  size_t IdleCount() const;
  size_t IdleCount(const trefoilarch::UpstreamId& aUpstream) const;
  /** When the oldest idle connection to the upstream was established; empty if
   * there is none. */
  std::optional<trefoilarch::Millis> ConnectedSince(
    const trefoilarch::UpstreamId& aUpstream) const;
  /** Connections established since the start. */
  uint64_t MadeCount() const { return mMadeCount; }
  uint64_t FailedCount() const { return mFailedCount; }

private:
  struct IdleConnection
  {
    Connection mConnection;
    trefoilarch::Millis mIdleSince;
  };

  /** Passes the connection to the callback, whether it is open or not. */
  void Connect(const trefoilarch::UpstreamId& aUpstream,
               const std::string& aAddress,
               std::function<void(Connection)> aDone);
  /** A Probe() in progress, and those that wait for the next one. */
  struct ProbeState
  {
    trefoilarch::UpstreamId mUpstream;
    std::string mAddress;
    std::vector<ProbeCallback> mWaiting;
    std::vector<ProbeCallback> mNext;
  };
  void StartProbe(const std::shared_ptr<ProbeState>& aProbe, int aTriesLeft);
  void OnProbeConnected(const std::shared_ptr<ProbeState>& aProbe,
                        int aTriesLeft,
                        trefoilarch::Millis aStartedAt,
                        const Connection& aConnection);
  void EndProbe(const std::shared_ptr<ProbeState>& aProbe,
                const ProbeResult& aResult);
  bool IsExpired(const IdleConnection& aIdle, trefoilarch::Millis aNow) const;
  void RemoveIdle(const trefoilarch::UpstreamId& aUpstream,
                  const ClientConnection* aConnection);

  boost::asio::io_context& mLoop;
  PoolOptions mOptions;
  std::map<trefoilarch::UpstreamId, std::vector<IdleConnection>> mIdle;
  /** By address. */
  std::map<std::string, std::shared_ptr<ProbeState>> mProbes;
  uint64_t mMadeCount = 0;
  uint64_t mFailedCount = 0;
};

/** Parses `IP:PORT`; returns an unspecified endpoint if invalid. */
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress);

} // namespace trefoilgate
