#pragma once

#include "clientconnection.h"

#include "libtrefoilarch/ids.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace trefoilgate {

/** How connections to upstreams are kept. */
struct PoolOptions
{
  /** In a region a handshake takes milliseconds; an upstream that does not
   * answer one is tried no longer. */
  trefoilarch::Millis mConnectTimeout{ 250 };
  /** Closed by us this long before the upstream would: a request must not
   * cross the upstream's close. */
  trefoilarch::Millis mIdleMargin{ 1000 };
  /** Kept where the upstream says nothing. */
  trefoilarch::Millis mIdleTimeout{ 15000 };
  KeepaliveOptions mKeepalive{};
  /** Nobody listens at the upstream's address. */
  std::function<void(const trefoilarch::UpstreamId&)> mOnRefused =
    [](const trefoilarch::UpstreamId&) {};
  /** A new connection was made. */
  std::function<void(const trefoilarch::UpstreamId&)> mOnListening =
    [](const trefoilarch::UpstreamId&) {};
};

/** Kept-alive connections to upstreams, the newest used first. */
class ConnectionPool
{
public:
  using Connection = std::shared_ptr<ClientConnection>;

  ConnectionPool(boost::asio::io_context& aLoop, PoolOptions aOptions);

  /**
   * Gives a connection to the upstream, or null where none can be made. May
   * call back at once.
   */
  void Acquire(const trefoilarch::UpstreamId& aUpstream,
               const std::string& aAddress,
               std::function<void(Connection)> aDone);

  /** Makes a connection and keeps it, or finds that nobody listens. */
  void CheckListening(const trefoilarch::UpstreamId& aUpstream,
                      const std::string& aAddress);

  /** Takes a connection back once its call has ended. */
  void Release(const trefoilarch::UpstreamId& aUpstream,
               const Connection& aConnection);

  /** Lets the call's answer run out unread, then keeps the connection. */
  static CallHandlers DiscardHandlers(ConnectionPool& aPool,
                                      const trefoilarch::UpstreamId& aUpstream,
                                      const Connection& aConnection);

  /** Closes what has been idle for too long, and all to upstreams that are
   * not on the list any more. */
  void Sweep(const std::function<bool(const trefoilarch::UpstreamId&)>& aListed,
             trefoilarch::Millis aNow);
  /** Closes what is idle to that upstream: its process is another one now. */
  void CloseIdle(const trefoilarch::UpstreamId& aUpstream);
  void CloseAll();

  size_t IdleCount() const;
  /** Connections made since the start. */
  uint64_t MadeCount() const { return mMade; }
  uint64_t FailedCount() const { return mFailed; }

private:
  struct Kept
  {
    Connection mConnection;
    trefoilarch::Millis mSince;
  };

  void Connect(const trefoilarch::UpstreamId& aUpstream,
               const std::string& aAddress,
               std::function<void(Connection)> aDone);
  bool Expired(const Kept& aKept, trefoilarch::Millis aNow) const;
  void Forget(const trefoilarch::UpstreamId& aUpstream,
              const ClientConnection* aConnection);

  boost::asio::io_context& mLoop;
  PoolOptions mOptions;
  std::map<trefoilarch::UpstreamId, std::vector<Kept>> mIdle;
  /** Upstreams to which a check is under way. */
  std::set<trefoilarch::UpstreamId> mChecked;
  uint64_t mMade = 0;
  uint64_t mFailed = 0;
};

/** Reads `IP:PORT`; an unspecified endpoint where it is none. */
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress);

} // namespace trefoilgate
