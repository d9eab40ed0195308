#pragma once

#include "bodytransfer.h"
#include "socketoptions.h"
#include "streamedbody.h"
#include "upstreamanswer.h"

#include "libtrefoilarch/millis.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoilgate {

/** Callbacks of a ClientConnection for one call, in the order of their use. */
struct CallHandlers
{
  /** Whether the answer belongs to this call; another one is skipped. */
  std::function<bool(const UpstreamAnswer&)> mIsOurs;
  /** Whether bytes that were read may be delivered; otherwise the connection
   * pauses until Resume(). */
  std::function<bool()> mMayDeliver;
  std::function<void(UpstreamAnswer)> mOnHead;
  std::function<void(std::string)> mOnData;
  /** The answer is complete. */
  std::function<void()> mOnEnd;
  /** The connection failed before that, or the answer was malformed. */
  std::function<void(const std::string&)> mOnBroken;
};

/** An outgoing request: its head, and a body that may be shared. */
struct OutgoingCall
{
  std::string mHead;
  std::shared_ptr<const std::string> mBody;
  /** Counts the bytes of the body that are written; may be null. */
  std::shared_ptr<BodyTransfer> mTransfer;
  /** The answer has no body, whatever its Content-Length says. */
  bool mNoBody = false;
};

/**
 * One HTTP/1.1 connection to a server, for one call at a time. Callbacks run
 * from the event loop only, never within a method. Every byte of an answer is
 * checked; a connection that has received unsolicited bytes is not reused.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(boost::asio::io_context& aLoop);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Reports whether the connection was established before the timeout. */
  void Connect(const boost::asio::ip::tcp::endpoint& aServer,
               trefoilarch::Millis aTimeout,
               const KeepaliveOptions& aKeepalive,
               std::function<void(bool)> aDone);

  /** Requires Idle(). */
  void Send(OutgoingCall aCall, CallHandlers aHandlers);

  /** Passes the rest of the call's answer to other handlers. */
  void ReplaceHandlers(CallHandlers aHandlers)
  {
    mHandlers = std::move(aHandlers);
  }

  /** Stops reading until Resume(), as the receiver is slow. */
  void Pause();
  void Resume();

  /** Whether another call can be sent. */
  bool Idle() const { return mOpen && !mBusy && !mNotReusable; }
  bool Open() const { return mOpen; }
  /** Whether the server refused the connection. */
  bool Refused() const { return mRefused; }
  /** When the connection was established. */
  trefoilarch::Millis ConnectedAt() const { return mConnectedAt; }
  /** Bytes that were read and can't be parsed yet. */
  size_t UnparsedBytes() const { return mBuffer.size(); }
  /** The server's idle timeout, as it last announced. */
  std::optional<trefoilarch::Millis> IdleTimeout() const
  {
    return mIdleTimeout;
  }
  /** Sets the handler called once if the connection closes while idle. */
  void OnClosedWhileIdle(std::function<void()> aOnClosed)
  {
    mOnClosedWhileIdle = std::move(aOnClosed);
  }

  /** Closes the connection and drops the call. */
  void Close();
  /** The same, and drops bytes that were not delivered yet. */
  void Reset();

private:
  using Parser = boost::beast::http::response_parser<StreamedBody>;
  using Error = boost::system::error_code;

  void NewParser();
  void Write();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse();
  /** Parses one step; returns false if no progress is possible with the
   * buffered bytes. */
  bool ParseStep();
  void OnHeadParsed();
  void DeliverBody();
  void FinishAnswer();
  void OnEndOfStream();
  void Fail(const std::string& aReason);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mConnectTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  OutgoingCall mCall;
  CallHandlers mHandlers;
  std::function<void(bool)> mOnConnected;
  std::function<void()> mOnClosedWhileIdle;
  std::optional<trefoilarch::Millis> mIdleTimeout;
  /** Bytes of the call's answer that were not for it. */
  size_t mSkippedBytes = 0;
  bool mOpen = false;
  bool mRefused = false;
  trefoilarch::Millis mConnectedAt;
  bool mBusy = false;
  bool mRequestWritten = false;
  bool mHeadParsed = false;
  bool mSkippingAnswer = false;
  bool mReading = false;
  bool mPaused = false;
  /** The connection must not be reused. */
  bool mNotReusable = false;
};

} // namespace trefoilgate
