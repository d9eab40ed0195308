#pragma once

#include "callerconnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace trefoilgate {

/** How a CallerListener treats its connections. */
struct ListenerOptions
{
  /** `IP:PORT`. */
  std::string mAddress;
  /** More connections than these are closed at once. */
  size_t mMaxConnections = 3500;
};

/** Accepts callers and keeps their connections. */
class CallerListener
{
public:
  /** aHooks.mOnClosed is set by the listener itself. */
  CallerListener(boost::asio::io_context& aLoop,
                 ListenerOptions aOptions,
                 CallerHooks aHooks);

  /** Throws boost::system::system_error where it can't listen. */
  void Open();
  void Close();

  /** Closes connections that are idle or slow beyond the limits. */
  void CheckTimeouts(trefoilarch::Millis aNow);
  /** Closes the connections that have had no request for that long. */
  void CloseIdle(trefoilarch::Millis aSpan, trefoilarch::Millis aNow);
  void CloseAll();

  size_t Connections() const { return mConnections.size(); }
  /** Where it listens, with the port that it was given. */
  std::string Address() const;

private:
  void Accept();
  void Add(boost::asio::ip::tcp::socket aSocket);
  template<typename Action>
  void ForEach(const Action& aAction);

  boost::asio::io_context& mLoop;
  ListenerOptions mOptions;
  CallerHooks mHooks;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
    mConnections;
};

} // namespace trefoilgate
