#pragma once

#include "callerconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace trefoilgate {

/** Options of a CallerListener. */
struct ListenerOptions
{
  /** `IP:PORT`. */
  std::string mAddress;
  /** At this number a new connection replaces another one that has served
   * nothing, or is idle; see ClosingRank. */
  size_t mMaxConnections = 3500;
  /** Called before a connection is closed for another one. */
  std::function<void(const CutCaller&)> mOnCut{};
};

/** Accepts callers' connections and owns them. */
class CallerListener
{
public:
  /** aHooks.mOnClosed is set by the listener itself. */
  CallerListener(boost::asio::io_context& aLoop,
                 ListenerOptions aOptions,
                 CallerHooks aHooks);

  /** Throws boost::system::system_error if it can't listen; it may then be
   * called again. */
  void Open();
  void Close();

  /** Closes connections that exceed the idle and request timeouts. */
  void CheckTimeouts(trefoilarch::Millis aNow);
  /** Closes the connections idle for at least this long. */
  void CloseIdle(trefoilarch::Millis aMinIdleTime, trefoilarch::Millis aNow);
  void CloseAll();

  size_t Connections() const { return mConnections.size(); }
  /** The address it listens on, with the port assigned by the kernel. */
  std::string Address() const;

private:
  void Accept();
  void Add(boost::asio::ip::tcp::socket aSocket);
  /** Closes the connection that others need first; false if there is none. */
  bool MakeRoom();
  template<typename Action>
  void ForEach(const Action& aAction);

  boost::asio::io_context& mLoop;
  ListenerOptions mOptions;
  CallerHooks mHooks;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
    mConnections;
};

} // namespace trefoilgate
