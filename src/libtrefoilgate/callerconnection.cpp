#include "callerconnection.h"

#include "bootclock.h"
#include "looptimer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace trefoilgate {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using trefoilarch::Millis;

namespace {

constexpr size_t kReadBytes = 16384;

/** Maximum bytes of a read for a head, as requests may follow it that have to
 * be kept. */
constexpr size_t kHeadReadBytes = 8192;

/** Limit of what a caller may send ahead while its request is served. */
constexpr size_t kMaxReadAhead = 4096;

/** Longer heads wait in the ParseQueue. */
constexpr size_t kShortHeadBytes = 4096;

/** Limit of a chunk header or of trailers. */
constexpr size_t kMaxFramingBytes = 16384;

constexpr std::string_view kEmptyLine = "\r\n";
constexpr std::string_view kEndOfHead = "\r\n\r\n";

/** All connections read into the same buffer, so that one that waits for its
 * caller needs none. */
std::array<char, kReadBytes>&
ReadBuffer()
{
  thread_local std::array<char, kReadBytes> sBuffer;
  return sBuffer;
}

/** Time for a caller to send a body; generous, as phones are slow. */
constexpr Millis kBodyTimeout{ 15000 };

/** Added to the idle timeout, so that a caller that respects the timeout never
 * has its request cross the close. */
constexpr Millis kIdleMargin{ 1000 };

/** Time for a caller to notice the answer to a request that it still sends. */
constexpr Millis kDiscardTimeout{ 1000 };

/** Requests that were sent ahead of a refusal wait for its Retry-After, but no
 * longer than this. */
constexpr Millis kMaxHold{ 100 };

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
  if (mHooks.mMemory != nullptr) {
    mMemoryId = mHooks.mMemory->Add(*this);
  }
  Error ignored;
  mSocket.non_blocking(true, ignored);
  CountMemory();
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
  // A part of an empty line is no part of a request.
  return mState == State::Reading && kEmptyLine.starts_with(Unparsed()) &&
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
  const bool waits =
    (mHeadChecked && mWaitsSince) || mTurnAwaitedSince || HoldsNextRequest();
  if (!waits && elapsed - mWaitTime >= timeout) {
    Reject(kTimedOut,
           "request not sent in time",
           mHeadChecked ? "body_timeout" : "header_timeout");
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
  if (mTurnAwaitedSince) {
    mHooks.mParseQueue->Cancel(mParseTurn);
  }
  mHoldTimer.reset();
  Error ignored;
  mSocket.close(ignored);
  const auto onDisconnected = std::exchange(mOnDisconnected, nullptr);
  mOnRoom = nullptr;
  mOnCut = nullptr;
  if (mHooks.mBuffers != nullptr) {
    mHooks.mBuffers->Remove(mStream);
  }
  if (mHooks.mMemory != nullptr) {
    mHooks.mMemory->Remove(mMemoryId);
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
  mEmptyLineBytes = 0;
  mBodyRoom = 0;
  mWaitTime = Millis(0);
  mPhaseStartedAt = BootNow();
}

size_t
CallerConnection::ReadSize() const
{
  if (mWaitsSince || mTurnAwaitedSince || mState == State::Closed) {
    return 0;
  }
  if (mState == State::Serving || HoldsNextRequest()) {
    return kMaxReadAhead - std::min(kMaxReadAhead, Unparsed().size());
  }
  return mHeadChecked ? kReadBytes : kHeadReadBytes;
}

void
CallerConnection::Read()
{
  if (mReadPending || ReadSize() == 0) {
    return;
  }
  mReadPending = true;
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const Error& aError) {
                       self->mReadPending = false;
                       self->OnReadable(aError);
                     });
}

void
CallerConnection::OnReadable(const Error& aError)
{
  if (mState == State::Closed) {
    return;
  }
  Error error = aError;
  const std::string_view bytes = error ? std::string_view() : Receive(error);
  if (error == asio::error::would_block) {
    Read();
    return;
  }
  if (error) {
    if (mState != State::Closing) {
      Close();
    }
    return;
  }
  OnRead(bytes);
}

std::string_view
CallerConnection::Receive(Error& aError)
{
  std::array<char, kReadBytes>& buffer = ReadBuffer();
  const size_t bytes =
    mSocket.read_some(asio::buffer(buffer, ReadSize()), aError);
  return { buffer.data(), bytes };
}

void
CallerConnection::OnRead(std::string_view aBytes)
{
  if (mState == State::Closing || mState == State::Discarding) {
    Read();
    return;
  }
  mInput.append(aBytes);
  Continue();
  BoundMemory();
}

void
CallerConnection::Continue()
{
  const auto self = shared_from_this();
  if (mState == State::Reading) {
    Parse();
  }
  DropParsed();
  CountMemory();
  Read();
}

void
CallerConnection::DropParsed()
{
  if (mParsedBytes == 0) {
    return;
  }
  mInput = mInput.substr(std::exchange(mParsedBytes, 0));
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
CallerConnection::HoldsNextRequest() const
{
  return mState == State::Reading && !mParser->got_some() &&
         (mHolding || mUnsent.Bytes() > 0);
}

void
CallerConnection::HoldNextRequest(Millis aDelay)
{
  mHolding = true;
  if (!mHoldTimer) {
    mHoldTimer.emplace(mSocket.get_executor());
  }
  RunAfter(*mHoldTimer, aDelay, [self = shared_from_this()] {
    self->mHolding = false;
    if (self->mState == State::Reading) {
      self->Continue();
    }
  });
}

bool
CallerConnection::BeginRequest()
{
  if (HoldsNextRequest()) {
    return false;
  }
  while (Unparsed().starts_with(kEmptyLine)) {
    mParsedBytes += kEmptyLine.size();
    mEmptyLineBytes += kEmptyLine.size();
  }
  if (mEmptyLineBytes > mLimits.mMaxHeaderBytes) {
    Reject(kBadRequest, "too many empty lines", "empty_lines");
    return false;
  }
  if (kEmptyLine.starts_with(Unparsed())) {
    return false;
  }
  // A head that has waited for its turn began before.
  if (!mHasParseTurn) {
    mPhaseStartedAt = BootNow();
  }
  return true;
}

bool
CallerConnection::IsShortHead() const
{
  const std::string_view unparsed = Unparsed();
  const size_t rest = kShortHeadBytes - std::min(kShortHeadBytes, mHeadBytes);
  return unparsed.size() <= rest ||
         unparsed.substr(0, rest).find(kEndOfHead) != std::string_view::npos;
}

bool
CallerConnection::TakeParseTurn()
{
  if (mTurnAwaitedSince) {
    return false;
  }
  if (mHooks.mParseQueue == nullptr || std::exchange(mHasParseTurn, false) ||
      IsShortHead()) {
    return true;
  }
  mTurnAwaitedSince = BootNow();
  mParseTurn = mHooks.mParseQueue->Await(*this);
  return false;
}

void
CallerConnection::OnParseTurn()
{
  const auto self = shared_from_this();
  mWaitTime = mWaitTime + (BootNow() - *mTurnAwaitedSince);
  mTurnAwaitedSince.reset();
  mHasParseTurn = true;
  // Only now, so that those that wait hold no more than a first part.
  Error error;
  const std::string_view rest = Receive(error);
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  OnRead(rest);
}

bool
CallerConnection::ParseStep()
{
  if (!mParser->got_some() && !BeginRequest()) {
    return false;
  }
  if (!mHeadChecked && !TakeParseTurn()) {
    return false;
  }
  if (mHeadChecked) {
    if (!EnsureMemory()) {
      return false;
    }
    BeginBody();
    if (mParser->is_done()) {
      Dispatch();
      return true;
    }
  }
  const std::string_view unparsed = Unparsed();
  if (unparsed.empty()) {
    return false;
  }
  Error error;
  const size_t parsed =
    mParser->put(asio::const_buffer(unparsed.data(), unparsed.size()), error);
  mParsedBytes += parsed;
  mHeadBytes += mHeadChecked ? 0 : parsed;
  if (error && error != http::error::need_more) {
    RejectMalformed(error);
    return false;
  }
  if (!CheckParsed()) {
    return false;
  }
  if (mParser->is_header_done() && !mHeadChecked) {
    return CheckHead();
  }
  return !error;
}

void
CallerConnection::RejectMalformed(const Error& aError)
{
  const int status = StatusFor(aError);
  const char* limit = status == kHeadersTooLarge ? "max_header_bytes"
                      : status == kTooLarge      ? "max_body_bytes"
                                                 : "";
  Reject(status, "malformed request", limit);
}

bool
CallerConnection::CheckParsed()
{
  if (mHeadChecked) {
    // What the parser leaves of a body is framing that is not complete.
    if (!mParser->is_done() && Unparsed().size() > kMaxFramingBytes) {
      Reject(kBadRequest, "chunk header or trailers too long", "framing");
      return false;
    }
    return true;
  }
  const size_t unparsedHead = mParser->is_header_done() ? 0 : Unparsed().size();
  if (mHeadBytes + unparsedHead > mLimits.mMaxHeaderBytes) {
    Reject(kHeadersTooLarge, "head too large", "max_header_bytes");
    return false;
  }
  return true;
}

bool
CallerConnection::CheckHead()
{
  mHeadChecked = true;
  if (mParser->HasUnknownCoding()) {
    Reject(kBadRequest, "unknown transfer coding");
    return false;
  }
  if (mParser->HostCount() != 1 || !mParser->IsHttp11()) {
    Reject(kBadRequest, "no single host, or another version");
    return false;
  }
  mRequest = MakeRequest();
  mParser->DropFields();
  return true;
}

CallerRequest
CallerConnection::MakeRequest() const
{
  static const auto kNoBody = std::make_shared<const std::string>();
  return { .mMethod = mParser->Method(),
           .mTarget = mParser->Target(),
           .mHost = mParser->Host(),
           .mHeaders = EndToEndHeaders(mParser->Fields()),
           .mBody = kNoBody,
           .mHasBody = mParser->HasContentLength() || mParser->chunked(),
           .mArrivedAt = mPhaseStartedAt };
}

void
CallerConnection::Dispatch()
{
  CallerRequest request = std::move(*mRequest);
  mRequest.reset();
  request.mBody = TakeBody();
  mServedBytes = kCopiesOfHead * mHeadBytes + request.mBody->capacity();
  mKeepAlive = mParser->keep_alive();
  mState = State::Serving;
  mUsed = true;
  mParser.reset();
  mHooks.mOnRequest(shared_from_this(), std::move(request));
}

void
CallerConnection::Reject(int aStatus, const char* aReason, const char* aLimit)
{
  mHooks.mOnRejected({ .mStatus = aStatus,
                       .mReason = aReason,
                       .mLimit = aLimit,
                       .mCaller = Peer() });
  RefuseUnread();
  Answer(
    { .mStatus = aStatus, .mHeaders = { { "Content-Type", "text/plain" } } },
    aReason);
}

void
CallerConnection::RefuseUnread()
{
  DropUpload();
  mParser.reset();
  mRequest.reset();
  mParsedBytes = 0;
  mInput = {};
  mKeepAlive = false;
  mRequestUnread = true;
  mState = State::Serving;
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
  mServedBytes = 0;
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
  Continue();
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
  if (aHead.mRetryAfter > Millis(0) && mKeepAlive && !Unparsed().empty()) {
    HoldNextRequest(std::min(aHead.mRetryAfter, kMaxHold));
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
  } else if (mState == State::Reading) {
    Continue();
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
