#pragma once

#include "socketoptions.h"
#include "upstreamanswer.h"

#include "libtrefoilarch/millis.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoilgate {

/** What a ClientConnection tells of one call, in this order. */
struct CallHandlers
{
  /** Whether the answer belongs to this call; another one is skipped. */
  std::function<bool(const UpstreamAnswer&)> mIsOurs;
  std::function<void(UpstreamAnswer)> mOnHead;
  std::function<void(std::string)> mOnData;
  /** The answer is whole. */
  std::function<void()> mOnEnd;
  /** The connection broke before that, or what came was no answer. */
  std::function<void(const std::string&)> mOnBroken;
};

/** A request as it goes out: its head, and a body that may be shared. */
struct OutgoingCall
{
  std::string mHead;
  std::shared_ptr<const std::string> mBody;
  /** The answer has a head alone, whatever its length says. */
  bool mNoBody = false;
};

/**
 * One HTTP/1.1 connection to a server, for one call at a time. Calls back
 * from the event loop only, never from within a method. Every byte of an
 * answer is checked; a connection that has brought bytes nobody asked for is
 * not used again.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(boost::asio::io_context& aLoop);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Tells whether the connection was made within the span. */
  void Connect(const boost::asio::ip::tcp::endpoint& aServer,
               trefoilarch::Millis aSpan,
               const KeepaliveOptions& aSilence,
               std::function<void(bool)> aDone);

  /** Only while Idle(). */
  void Send(OutgoingCall aCall, CallHandlers aHandlers);

  /** The rest of the call's answer goes to others. */
  void ReplaceHandlers(CallHandlers aHandlers)
  {
    mHandlers = std::move(aHandlers);
  }

  /** Reads no further until Resume(): the receiver is slow. */
  void Pause();
  void Resume();

  /** Can take another call. */
  bool Idle() const { return mOpen && !mBusy && !mSpoilt; }
  bool Open() const { return mOpen; }
  /** Nobody listened at the server's address. */
  bool Refused() const { return mRefused; }
  /** How long the server keeps it when idle, as last told. */
  std::optional<trefoilarch::Millis> IdleTimeout() const
  {
    return mIdleTimeout;
  }
  /** Told once if the connection ends while idle. */
  void OnClosedWhileIdle(std::function<void()> aLost)
  {
    mOnLost = std::move(aLost);
  }

  /** Drops the connection and forgets the call. */
  void Close();

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  void NewParser();
  void Write();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse();
  /** One step; false where nothing more can be done with what is there. */
  bool ParseSome();
  void TakeHead();
  void TakeBody();
  void Finish();
  void AtEnd();
  void Break(const std::string& aWhy);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mConnectTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  OutgoingCall mCall;
  CallHandlers mHandlers;
  std::function<void(bool)> mOnConnected;
  std::function<void()> mOnLost;
  std::optional<trefoilarch::Millis> mIdleTimeout;
  bool mOpen = false;
  bool mRefused = false;
  bool mBusy = false;
  bool mWritten = false;
  bool mHeadTaken = false;
  bool mSkipping = false;
  bool mReading = false;
  bool mPaused = false;
  /** Not to be used again. */
  bool mSpoilt = false;
};

} // namespace trefoilgate
