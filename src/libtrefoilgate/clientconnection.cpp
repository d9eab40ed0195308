#include "clientconnection.h"

#include "bootclock.h"
#include "socketstate.h"

#include "libtrefoilarch/httpstatus.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace trefoilgate {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using trefoilarch::Millis;

namespace {

constexpr size_t kReadBytes = 8192;
constexpr size_t kWriteBytes = 65536;
constexpr uint32_t kMaxHeaderBytes = 65536;
/** Bytes of a chunk header or of trailers that are not complete yet. */
constexpr size_t kMaxUnparsedBytes = 16384;
/** Bytes of interim answers and of answers to other calls. */
constexpr size_t kMaxSkippedBytes = 1048576;
/** A longer idle timeout makes no difference. */
constexpr int64_t kMaxIdleSeconds = 86400;

/** The `timeout` of a Keep-Alive header, in whole seconds. */
std::optional<Millis>
ParseIdleTimeout(const http::fields& aFields)
{
  const auto field = aFields.find(http::field::keep_alive);
  if (field == aFields.end()) {
    return std::nullopt;
  }
  const std::string_view value(field->value().data(), field->value().size());
  constexpr std::string_view kName = "timeout=";
  const size_t position = value.find(kName);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const char* begin = value.data() + position + kName.size();
  int64_t seconds = 0;
  const auto [end, error] =
    std::from_chars(begin, value.data() + value.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return Millis(std::clamp<int64_t>(seconds, 0, kMaxIdleSeconds) * 1000);
}

} // namespace

ClientConnection::ClientConnection(asio::io_context& aLoop)
  : mSocket(aLoop)
  , mConnectTimer(aLoop)
{
}

ClientConnection::~ClientConnection() = default;

void
ClientConnection::Connect(const asio::ip::tcp::endpoint& aServer,
                          Millis aTimeout,
                          const KeepaliveOptions& aKeepalive,
                          std::function<void(bool)> aDone)
{
  mOnConnected = std::move(aDone);
  Error error;
  mSocket.open(asio::ip::tcp::v4(), error);
  if (!error) {
    SetSocketOptions(mSocket, aKeepalive);
  }
  mConnectTimer.expires_after(std::chrono::milliseconds(aTimeout.Count()));
  mConnectTimer.async_wait([self = shared_from_this()](const Error& aError) {
    if (!aError && !self->mOpen) {
      self->mSocket.close();
    }
  });
  mSocket.async_connect(
    aServer, [self = shared_from_this()](const Error& aError) {
      self->mConnectTimer.cancel();
      const auto done = std::exchange(self->mOnConnected, nullptr);
      self->mOpen = !aError && self->mSocket.is_open();
      self->mRefused = aError == asio::error::connection_refused;
      if (self->mOpen) {
        self->mConnectedAt = BootNow();
        self->NewParser();
        self->Read();
      }
      if (done) {
        done(self->mOpen);
      }
    });
}

void
ClientConnection::Send(OutgoingCall aCall, CallHandlers aHandlers)
{
  mCall = std::move(aCall);
  mHandlers = std::move(aHandlers);
  mBusy = true;
  mSkippedBytes = 0;
  mRequestWritten = false;
  NewParser();
  Write();
}

void
ClientConnection::Pause()
{
  mPaused = true;
}

void
ClientConnection::Resume()
{
  mPaused = false;
  if (!mOpen || mReading) {
    return;
  }
  if (mBuffer.size() == 0) {
    Read();
    return;
  }
  mReading = true;
  asio::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->mReading = false;
    self->OnRead({}, 0);
  });
}

void
ClientConnection::Close()
{
  mOpen = false;
  mBusy = false;
  mHandlers = {};
  mOnClosedWhileIdle = nullptr;
  mOnConnected = nullptr;
  Error ignored;
  mSocket.close(ignored);
  mConnectTimer.cancel();
}

void
ClientConnection::Reset()
{
  Error ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void
ClientConnection::NewParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(boost::none);
  mParser->header_limit(kMaxHeaderBytes);
  mParser->skip(mCall.mNoBody);
  mHeadParsed = false;
  mSkippingAnswer = false;
}

void
ClientConnection::Write()
{
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(mCall.mHead),
    mCall.mBody ? asio::buffer(*mCall.mBody) : asio::const_buffer{}
  };
  const auto countWritten = [transfer = mCall.mTransfer,
                             headBytes = mCall.mHead.size()](size_t aBytes) {
    if (transfer) {
      transfer->SetWritten(aBytes - std::min(aBytes, headBytes));
    }
  };
  // Called before each write with the bytes written so far, but not after the
  // last one.
  const auto onProgress = [countWritten](const Error& aError,
                                         size_t aBytes) -> size_t {
    countWritten(aBytes);
    return aError ? 0 : kWriteBytes;
  };
  asio::async_write(mSocket,
                    buffers,
                    onProgress,
                    [self = shared_from_this(),
                     countWritten,
                     body = mCall.mBody](const Error& aError, size_t aBytes) {
                      countWritten(aBytes);
                      if (!aError) {
                        self->mRequestWritten = true;
                      } else if (self->mBusy && self->mOpen) {
                        // A framed answer may have arrived before the write
                        // failed; the pending read finds out.
                        self->mNotReusable = true;
                      }
                    });
}

void
ClientConnection::Read()
{
  mReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->mReading = false;
      self->OnRead(aError, aBytes);
    });
}

void
ClientConnection::OnRead(const Error& aError, size_t aBytes)
{
  if (!mOpen) {
    return;
  }
  if (aError == asio::error::eof) {
    OnEndOfStream();
    return;
  }
  if (aError) {
    Fail(aError.message());
    return;
  }
  mBuffer.commit(aBytes);
  if (mBusy && mBuffer.size() > 0 && mHandlers.mMayDeliver &&
      !mHandlers.mMayDeliver()) {
    mPaused = true;
    return;
  }
  Parse();
  if (mOpen && !mPaused && !mReading) {
    Read();
  }
}

void
ClientConnection::Parse()
{
  const auto self = shared_from_this();
  while (mOpen && mBuffer.size() > 0) {
    if (!mBusy) {
      Fail("unsolicited bytes");
      return;
    }
    if (!ParseStep()) {
      return;
    }
  }
}

bool
ClientConnection::ParseStep()
{
  Error error;
  const size_t consumed = mParser->put(mBuffer.data(), error);
  mBuffer.consume(consumed);
  if (error && error != http::error::need_more) {
    Fail(error.message());
    return false;
  }
  if (mParser->is_header_done() && !mHeadParsed) {
    OnHeadParsed();
  }
  if (mOpen && mBusy && mHeadParsed) {
    DeliverBody();
  }
  mSkippedBytes += mSkippingAnswer ? consumed : 0;
  if (mOpen && mSkippedBytes > kMaxSkippedBytes) {
    Fail("no answer to the request among its bytes");
    return false;
  }
  if (mOpen && mBusy && mParser->is_done()) {
    FinishAnswer();
    return true;
  }
  if (mOpen && mHeadParsed && error && mBuffer.size() > kMaxUnparsedBytes) {
    Fail("framing without an end");
    return false;
  }
  return !error && mOpen;
}

void
ClientConnection::OnHeadParsed()
{
  mHeadParsed = true;
  const auto& message = mParser->get();
  const auto status = static_cast<int>(message.result_int());
  if (!trefoilarch::IsHttpStatus(status)) {
    Fail("status out of range");
    return;
  }
  if (!trefoilarch::IsFinalHttpStatus(status)) {
    mSkippingAnswer = true;
    return;
  }
  const auto coding = message.find(http::field::transfer_encoding);
  if (coding != message.end() &&
      !boost::beast::iequals(coding->value(), "chunked")) {
    Fail("unknown transfer coding");
    return;
  }
  UpstreamAnswer answer{ .mStatus = status,
                         .mReason = std::string(message.reason()),
                         .mHeaders = EndToEndHeaders(message),
                         .mEndsWithConnection = mParser->need_eof(),
                         .mCloses = !mParser->keep_alive(),
                         .mIdleTimeout = ParseIdleTimeout(message) };
  if (message.has_content_length()) {
    const auto length = mParser->content_length();
    answer.mLength = length ? std::optional<uint64_t>(*length) : 0;
  }
  if (answer.mIdleTimeout) {
    mIdleTimeout = answer.mIdleTimeout;
  }
  if (mHandlers.mIsOurs && !mHandlers.mIsOurs(answer)) {
    mSkippingAnswer = true;
    return;
  }
  if (mHandlers.mOnHead) {
    // Copied, as the handler may release the call that owns it.
    const auto handler = mHandlers.mOnHead;
    handler(std::move(answer));
  }
}

void
ClientConnection::DeliverBody()
{
  std::string& body = mParser->get().body();
  if (body.empty()) {
    return;
  }
  std::string data;
  data.swap(body);
  if (!mSkippingAnswer && mHandlers.mOnData) {
    const auto handler = mHandlers.mOnData;
    handler(std::move(data));
  }
}

void
ClientConnection::FinishAnswer()
{
  if (mSkippingAnswer) {
    const auto status = static_cast<int>(mParser->get().result_int());
    const bool closes =
      !mParser->keep_alive() && trefoilarch::IsFinalHttpStatus(status);
    if (closes) {
      Fail("closed after an answer to another call");
      return;
    }
    NewParser();
    return;
  }
  mNotReusable = mNotReusable || !mParser->keep_alive() || !mRequestWritten ||
                 mBuffer.size() > 0;
  mBusy = false;
  mPaused = false;
  const auto end = mHandlers.mOnEnd;
  mHandlers = {};
  mCall = {};
  if (mNotReusable) {
    Error ignored;
    mOpen = false;
    mSocket.close(ignored);
  }
  if (end) {
    end();
  }
}

void
ClientConnection::OnEndOfStream()
{
  if (mBusy && mHeadParsed && !mSkippingAnswer) {
    // Without framing, the end proves nothing if the server may not have
    // received the whole request.
    if (!mRequestWritten || !HasEndedInOrder(mSocket)) {
      Fail("closed before the request was received");
      return;
    }
    Error error;
    mParser->put_eof(error);
    if (!error && mParser->is_done()) {
      mNotReusable = true;
      FinishAnswer();
      return;
    }
  }
  Fail("closed by the server");
}

void
ClientConnection::Fail(const std::string& aReason)
{
  const auto self = shared_from_this();
  const auto onBroken = mHandlers.mOnBroken;
  const auto onClosedWhileIdle = mOnClosedWhileIdle;
  const bool busy = mBusy;
  Close();
  if (busy && onBroken) {
    onBroken(aReason);
  } else if (!busy && onClosedWhileIdle) {
    onClosedWhileIdle();
  }
}

} // namespace trefoilgate
