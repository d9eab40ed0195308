#include "clientconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <chrono>

namespace trefoilgate {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using trefoilarch::Millis;

namespace {

constexpr size_t kReadBytes = 8192;
constexpr uint32_t kMostHeaderBytes = 65536;
constexpr int kLeastFinalStatus = 200;

/** The `timeout` of a Keep-Alive header, in whole seconds. */
std::optional<Millis>
IdleSpanOf(const http::fields& aFields)
{
  const auto field = aFields.find(http::field::keep_alive);
  if (field == aFields.end()) {
    return std::nullopt;
  }
  const std::string_view value(field->value().data(), field->value().size());
  constexpr std::string_view kName = "timeout=";
  const size_t place = value.find(kName);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  const char* begin = value.data() + place + kName.size();
  int64_t seconds = 0;
  const auto [end, error] =
    std::from_chars(begin, value.data() + value.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return Millis(seconds * 1000);
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
                          Millis aSpan,
                          const KeepaliveOptions& aSilence,
                          std::function<void(bool)> aDone)
{
  mOnConnected = std::move(aDone);
  Error error;
  mSocket.open(asio::ip::tcp::v4(), error);
  if (!error) {
    SetSocketOptions(mSocket, aSilence);
  }
  mConnectTimer.expires_after(std::chrono::milliseconds(aSpan.Count()));
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
  mWritten = false;
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
  if (mOpen && !mReading) {
    Read();
  }
}

void
ClientConnection::Close()
{
  mOpen = false;
  mBusy = false;
  mHandlers = {};
  mOnLost = nullptr;
  mOnConnected = nullptr;
  Error ignored;
  mSocket.close(ignored);
  mConnectTimer.cancel();
}

void
ClientConnection::NewParser()
{
  mParser.emplace();
  mParser->eager(true);
  mParser->body_limit(boost::none);
  mParser->header_limit(kMostHeaderBytes);
  mParser->skip(mCall.mNoBody);
  mHeadTaken = false;
  mSkipping = false;
}

void
ClientConnection::Write()
{
  const std::array<asio::const_buffer, 2> parts = {
    asio::buffer(mCall.mHead),
    mCall.mBody ? asio::buffer(*mCall.mBody) : asio::const_buffer{}
  };
  asio::async_write(mSocket,
                    parts,
                    [self = shared_from_this(),
                     body = mCall.mBody](const Error& aError, size_t) {
                      if (!aError) {
                        self->mWritten = true;
                      } else if (self->mBusy && self->mOpen) {
                        // An answer may have come before the break: the read
                        // tells.
                        self->mSpoilt = true;
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
    AtEnd();
    return;
  }
  if (aError) {
    Break(aError.message());
    return;
  }
  mBuffer.commit(aBytes);
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
      Break("bytes that nobody asked for");
      return;
    }
    if (!ParseSome()) {
      return;
    }
  }
}

bool
ClientConnection::ParseSome()
{
  Error error;
  const size_t used = mParser->put(mBuffer.data(), error);
  mBuffer.consume(used);
  if (error && error != http::error::need_more) {
    Break(error.message());
    return false;
  }
  if (mParser->is_header_done() && !mHeadTaken) {
    TakeHead();
  }
  if (mOpen && mBusy && mHeadTaken) {
    TakeBody();
  }
  if (mOpen && mBusy && mParser->is_done()) {
    Finish();
    return true;
  }
  return !error && mOpen;
}

void
ClientConnection::TakeHead()
{
  mHeadTaken = true;
  const auto& message = mParser->get();
  if (message.result_int() < kLeastFinalStatus) {
    mSkipping = true;
    return;
  }
  UpstreamAnswer answer{ .mStatus = static_cast<int>(message.result_int()),
                         .mReason = std::string(message.reason()),
                         .mHeaders = EndToEndHeaders(message),
                         .mEndsWithConnection = mParser->need_eof(),
                         .mIdleTimeout = IdleSpanOf(message) };
  if (message.has_content_length()) {
    const auto length = mParser->content_length();
    answer.mLength = length ? std::optional<uint64_t>(*length) : 0;
  }
  if (answer.mIdleTimeout) {
    mIdleTimeout = answer.mIdleTimeout;
  }
  if (mHandlers.mIsOurs && !mHandlers.mIsOurs(answer)) {
    mSkipping = true;
    return;
  }
  if (mHandlers.mOnHead) {
    // A copy: the handler may let go of the call that it belongs to.
    const auto handler = mHandlers.mOnHead;
    handler(std::move(answer));
  }
}

void
ClientConnection::TakeBody()
{
  std::string& body = mParser->get().body();
  if (body.empty()) {
    return;
  }
  std::string data;
  data.swap(body);
  if (!mSkipping && mHandlers.mOnData) {
    const auto handler = mHandlers.mOnData;
    handler(std::move(data));
  }
}

void
ClientConnection::Finish()
{
  if (mSkipping) {
    const bool closes = !mParser->keep_alive() &&
                        mParser->get().result_int() >= kLeastFinalStatus;
    if (closes) {
      Break("closed after an answer to another call");
      return;
    }
    NewParser();
    return;
  }
  mSpoilt =
    mSpoilt || !mParser->keep_alive() || !mWritten || mBuffer.size() > 0;
  mBusy = false;
  const auto end = mHandlers.mOnEnd;
  mHandlers = {};
  mCall = {};
  if (mSpoilt) {
    Error ignored;
    mOpen = false;
    mSocket.close(ignored);
  }
  if (end) {
    end();
  }
}

void
ClientConnection::AtEnd()
{
  if (mBusy && mHeadTaken && !mSkipping) {
    Error error;
    mParser->put_eof(error);
    if (!error && mParser->is_done()) {
      mSpoilt = true;
      Finish();
      return;
    }
  }
  Break("closed by the server");
}

void
ClientConnection::Break(const std::string& aWhy)
{
  const auto self = shared_from_this();
  const auto broken = mHandlers.mOnBroken;
  const auto lost = mOnLost;
  const bool busy = mBusy;
  Close();
  if (busy && broken) {
    broken(aWhy);
  } else if (!busy && lost) {
    lost();
  }
}

} // namespace trefoilgate
