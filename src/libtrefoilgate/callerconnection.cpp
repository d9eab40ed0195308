#include "callerconnection.h"

#include "bootclock.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace trefoilgate {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using trefoilarch::Millis;

namespace {

constexpr size_t kReadBytes = 8192;

/** Limit of what a caller may send ahead while its request is served. */
constexpr size_t kMaxReadAhead = 16384;

/** Time for a caller to send a body; generous, as phones are slow. */
constexpr Millis kBodyTimeout{ 15000 };

/** Added to the idle timeout, so that a caller that respects the timeout never
 * has its request cross the close. */
constexpr Millis kIdleMargin{ 1000 };

/** Time for a caller to notice the answer to a request that it still sends. */
constexpr Millis kDiscardTimeout{ 1000 };

constexpr int kBadRequest = 400;
constexpr int kTimedOut = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

void
AppendHead(std::string& aOut, const AnswerHead& aHead, bool aKeepAlive)
{
  aOut += "HTTP/1.1 ";
  aOut += std::to_string(aHead.mStatus);
  aOut += ' ';
  aOut += aHead.mReason.empty()
            ? std::string(http::obsolete_reason(
                http::int_to_status(static_cast<unsigned>(aHead.mStatus))))
            : aHead.mReason;
  aOut += "\r\n";
  for (const auto& [name, value] : aHead.mHeaders) {
    AppendField(aOut, name, value);
  }
  if (aHead.mLength) {
    AppendField(aOut, "Content-Length", std::to_string(*aHead.mLength));
  } else if (!aHead.mNoBody && !aHead.mEndsWithConnection) {
    AppendField(aOut, "Transfer-Encoding", "chunked");
  }
  if (!aKeepAlive) {
    AppendField(aOut, "Connection", "close");
  }
  aOut += "\r\n";
}

int
StatusFor(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return kHeadersTooLarge;
  }
  return aError == http::error::body_limit ? kTooLarge : kBadRequest;
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket aSocket,
                                   const CallerHooks& aHooks)
  : mSocket(std::move(aSocket))
  , mHooks(aHooks)
  , mPhaseStartedAt(BootNow())
{
}

void
CallerConnection::Start()
{
  if (mHooks.mBuffers != nullptr) {
    mStream = mHooks.mBuffers->Add(*this);
  }
  NewParser();
  Read();
}

bool
CallerConnection::Idle() const
{
  return AwaitsRequest() && mUnsent.Bytes() == 0;
}

bool
CallerConnection::AwaitsRequest() const
{
  return mState == State::Reading && UnparsedBytes() == 0 &&
         (!mParser || !mParser->got_some());
}

void
CallerConnection::CheckTimeouts(Millis aNow)
{
  const Millis elapsed = aNow - mPhaseStartedAt;
  if (mState == State::Discarding && elapsed >= kDiscardTimeout) {
    Close();
    return;
  }
  if (mState != State::Reading) {
    return;
  }
  if (AwaitsRequest()) {
    if (Idle() && elapsed >= mLimits.mIdleTimeout + kIdleMargin) {
      Close();
    }
    return;
  }
  const Millis timeout = mHeadChecked ? kBodyTimeout : mLimits.mHeaderTimeout;
  const bool waits = mHeadChecked && mWaitsSince;
  if (!waits && elapsed - mWaitTime >= timeout) {
    Reject(kTimedOut, "request not sent in time");
    return;
  }
  CheckUpload();
}

void
CallerConnection::Close()
{
  if (mState == State::Closed) {
    return;
  }
  const auto self = shared_from_this();
  const bool serving = mState == State::Serving;
  mState = State::Closed;
  DropUpload();
  Error ignored;
  mSocket.close(ignored);
  const auto onDisconnected = std::exchange(mOnDisconnected, nullptr);
  mOnRoom = nullptr;
  mOnCut = nullptr;
  if (mHooks.mBuffers != nullptr) {
    mHooks.mBuffers->Remove(mStream);
  }
  if (serving && onDisconnected) {
    onDisconnected();
  }
  mHooks.mOnClosed(this);
}

void
CallerConnection::NewParser()
{
  mLimits = mHooks.mLimits();
  mParser.emplace();
  mParser->header_limit(mLimits.mMaxHeaderBytes);
  mParser->body_limit(mLimits.mMaxBodyBytes);
  mHeadChecked = false;
  mRequest.reset();
  mHeadBytes = 0;
  mBodyRoom = 0;
  mWaitTime = Millis(0);
  mPhaseStartedAt = BootNow();
}

void
CallerConnection::Read()
{
  if (mReadPending || mWaitsSince || mState == State::Closed) {
    return;
  }
  mReadPending = true;
  mSocket.async_read_some(
    mBuffer.prepare(kReadBytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->mReadPending = false;
      self->OnRead(aError, aBytes);
    });
}

void
CallerConnection::OnRead(const Error& aError, size_t aBytes)
{
  if (mState == State::Closed) {
    return;
  }
  if (aError) {
    if (mState != State::Closing) {
      Close();
    }
    return;
  }
  if (mState == State::Discarding) {
    Read();
    return;
  }
  if (AwaitsRequest()) {
    mPhaseStartedAt = BootNow();
  }
  mBuffer.commit(aBytes);
  mBuffer.consume(std::exchange(mParsedBytes, 0));
  if (mState == State::Reading) {
    Parse();
  }
  if (UnparsedBytes() < kMaxReadAhead) {
    Read();
  }
}

void
CallerConnection::Consume(size_t aBytes)
{
  // An empty buffer starts over, but the pending read fills the old place.
  if (mReadPending) {
    mParsedBytes += aBytes;
  } else {
    mBuffer.consume(aBytes);
  }
}

void
CallerConnection::Parse()
{
  // Answering a request continues here, so that the depth of the stack does not
  // depend on what is sent ahead.
  if (std::exchange(mParsing, true)) {
    return;
  }
  const auto self = shared_from_this();
  while (mState == State::Reading && ParseStep()) {
  }
  mParsing = false;
}

bool
CallerConnection::ParseStep()
{
  if (!EnsureMemory()) {
    return false;
  }
  if (mHeadChecked) {
    BeginBody();
    if (mParser->is_done()) {
      Dispatch();
      return true;
    }
  }
  if (UnparsedBytes() == 0) {
    return false;
  }
  Error error;
  const size_t parsed = mParser->put(mBuffer.cdata() + mParsedBytes, error);
  Consume(parsed);
  if (error && error != http::error::need_more) {
    Reject(StatusFor(error), "malformed request");
    return false;
  }
  if (mParser->is_header_done() && !mHeadChecked) {
    mHeadBytes = parsed;
    return CheckHead();
  }
  return !error;
}

bool
CallerConnection::CheckHead()
{
  mHeadChecked = true;
  const auto& message = mParser->get();
  const auto coding = message.find(http::field::transfer_encoding);
  if (coding != message.end() &&
      !boost::beast::iequals(coding->value(), "chunked")) {
    Reject(kBadRequest, "unknown transfer coding");
    return false;
  }
  if (message.count(http::field::host) != 1 || message.version() != 11) {
    Reject(kBadRequest, "no single host, or another version");
    return false;
  }
  return true;
}

CallerRequest
CallerConnection::MakeRequest() const
{
  static const auto kNoBody = std::make_shared<const std::string>();
  const auto& message = mParser->get();
  return { .mMethod = std::string(message.method_string()),
           .mTarget = std::string(message.target()),
           .mHost = std::string(message[http::field::host]),
           .mHeaders = EndToEndHeaders(message),
           .mBody = kNoBody,
           .mHasBody = message.has_content_length() || message.chunked(),
           .mArrivedAt = mPhaseStartedAt };
}

void
CallerConnection::Dispatch()
{
  CallerRequest request = mRequest ? std::move(*mRequest) : MakeRequest();
  mRequest.reset();
  request.mBody = TakeBody();
  mKeepAlive = mParser->get().keep_alive();
  mState = State::Serving;
  mParser.reset();
  mHooks.mOnRequest(shared_from_this(), std::move(request));
}

void
CallerConnection::Reject(int aStatus, const char* aReason)
{
  mHooks.mOnRejected(aStatus, aReason);
  DropUpload();
  mKeepAlive = false;
  mRequestUnread = true;
  mState = State::Serving;
  Answer(
    { .mStatus = aStatus, .mHeaders = { { "Content-Type", "text/plain" } } },
    aReason);
}

void
CallerConnection::BeginAnswer(const AnswerHead& aHead)
{
  mNoBody = aHead.mNoBody;
  mEndsWithConnection = aHead.mEndsWithConnection;
  mChunked = !aHead.mLength && !aHead.mNoBody && !mEndsWithConnection;
  mKeepAlive = KeepsAlive() && !mEndsWithConnection;
  if (mEndsWithConnection) {
    // Until the body is complete any close is a reset, also the kernel's if
    // this process is killed, as a regular one would mark the end of the body.
    SetResetOnClose(true);
  }
  std::string head;
  AppendHead(head, aHead, mKeepAlive);
  mUnsent.Append(head);
}

void
CallerConnection::WriteAnswer(std::string_view aData)
{
  if (mState != State::Serving || aData.empty() || mNoBody) {
    return;
  }
  if (mChunked) {
    std::array<char, 2 * sizeof(size_t)> digits{};
    constexpr int kHexadecimal = 16;
    const auto end = std::to_chars(
      digits.data(), digits.data() + digits.size(), aData.size(), kHexadecimal);
    mUnsent.Append(std::string_view(digits.data(), end.ptr));
    mUnsent.Append("\r\n");
    mUnsent.Append(aData);
    mUnsent.Append("\r\n");
  } else {
    mUnsent.Append(aData);
  }
  Write();
}

void
CallerConnection::EndAnswer()
{
  if (mState != State::Serving) {
    return;
  }
  const auto self = shared_from_this();
  if (mChunked) {
    mUnsent.Append("0\r\n\r\n");
  }
  mOnDisconnected = nullptr;
  mOnRoom = nullptr;
  mOnCut = nullptr;
  mState = mKeepAlive ? State::Reading : State::Closing;
  if (mState == State::Closing && mUnsent.Bytes() == 0) {
    CloseRegularly();
    return;
  }
  Write();
  if (mState != State::Reading) {
    return;
  }
  NewParser();
  Parse();
  Read();
}

void
CallerConnection::Answer(AnswerHead aHead, std::string_view aBody)
{
  if (mState != State::Serving) {
    return;
  }
  if (!aHead.mLength && !aHead.mEndsWithConnection) {
    aHead.mLength = aBody.size();
  }
  BeginAnswer(aHead);
  if (!mNoBody) {
    mUnsent.Append(aBody);
  }
  EndAnswer();
}

void
CallerConnection::AbortAnswer()
{
  mOnDisconnected = nullptr;
  Close();
}

void
CallerConnection::SetResetOnClose(bool aReset)
{
  Error ignored;
  mSocket.set_option(asio::socket_base::linger(aReset, 0), ignored);
}

void
CallerConnection::Write()
{
  CountHeldBytes();
  if (mWritePending || mUnsent.Bytes() == 0 || mState == State::Closed) {
    return;
  }
  mWritePending = true;
  const std::string_view bytes = mUnsent.Front();
  mSocket.async_write_some(
    asio::buffer(bytes),
    [self = shared_from_this()](const Error& aError, size_t aBytes) {
      self->mWritePending = false;
      self->OnWritten(aError, aBytes);
    });
}

void
CallerConnection::OnWritten(const Error& aError, size_t aBytes)
{
  if (mState == State::Closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mWrittenBytes += aBytes;
  mUnsent.Consume(aBytes);
  if (mUnsent.Bytes() > 0) {
    Write();
    return;
  }
  CountHeldBytes();
  if (AwaitsRequest()) {
    mPhaseStartedAt = BootNow();
  }
  if (mState == State::Closing) {
    CloseRegularly();
  }
}

void
CallerConnection::CloseRegularly()
{
  SetResetOnClose(false);
  Error ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (!mRequestUnread) {
    Close();
    return;
  }
  mState = State::Discarding;
  mPhaseStartedAt = BootNow();
  Read();
}

} // namespace trefoilgate
