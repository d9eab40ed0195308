#pragma once

#include "httpfields.h"
#include "socketoptions.h"

#include "libtrefoilarch/millis.h"
#include "libtrefoilarch/routepolicy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoilgate {

/** A caller's request, read as a whole. */
struct CallerRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  /** End-to-end headers alone. */
  Headers mHeaders;
  std::shared_ptr<const std::string> mBody;
  /** It came with a length or in chunks, even if it was empty. */
  bool mHasBody = false;
  /** When its first byte was read. */
  trefoilarch::Millis mArrivedAt;
};

/** The head of an answer to a caller. */
struct AnswerHead
{
  int mStatus = 200;
  std::string mReason;
  Headers mHeaders;
  /** Absent: in chunks. */
  std::optional<uint64_t> mLength;
  /** A head alone, as after HEAD or with 204 and 304. */
  bool mNoBody = false;
};

class CallerConnection;

/** What a CallerConnection asks of its owner. */
struct CallerHooks
{
  /** A whole request is here; it is answered by the Answer methods. */
  std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>
    mOnRequest;
  /** The limits in force. */
  std::function<trefoilarch::CallerLimits()> mLimits;
  /** Whether the process is stopping: answers then close the connection. */
  std::function<bool()> mStopping;
  /** The connection is gone. */
  std::function<void(CallerConnection*)> mOnClosed;
  /** A request that can't be read was refused with that status. */
  std::function<void(int, const char*)> mOnRejected;
};

/**
 * One connection of a caller: reads one request at a time, strictly, and
 * writes its answer. While a request is served it watches for the caller's
 * close.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(boost::asio::ip::tcp::socket aSocket,
                   const CallerHooks& aHooks);

  void Start();

  /** Told if the caller leaves before its answer is whole. */
  void OnDisconnected(std::function<void()> aLeft)
  {
    mOnLeft = std::move(aLeft);
  }
  /** Told when a slow caller has taken what was pending. */
  void OnDrained(std::function<void()> aDrained)
  {
    mOnDrained = std::move(aDrained);
  }

  void BeginAnswer(const AnswerHead& aHead);
  void WriteAnswer(std::string_view aData);
  /** The answer is whole; the next request may be read. */
  void EndAnswer();
  /** The whole of a short answer. */
  void Answer(AnswerHead aHead, std::string_view aBody);
  /** The answer can't be completed: the connection ends, visibly short. */
  void AbortAnswer();

  /** Bytes that the caller has not taken yet. */
  size_t PendingBytes() const { return mOut.size() + mWriting.size(); }
  /** No request is being read or served. */
  bool Idle() const;
  /** How long it has been idle; zero if it is not. */
  trefoilarch::Millis IdleTime(trefoilarch::Millis aNow) const
  {
    return Idle() ? aNow - mSince : trefoilarch::Millis(0);
  }
  /** Closes an idle connection, and one whose request takes too long. */
  void CheckTimeouts(trefoilarch::Millis aNow);
  void Close();

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  enum class State : uint8_t
  {
    Reading,
    Serving,
    Closing, /**< the last answer is being written */
    Closed,
  };

  void NewParser();
  void Read();
  void OnRead(const Error& aError, size_t aBytes);
  void Parse();
  bool CheckHead();
  void Dispatch();
  void Reject(int aStatus, const char* aWhy);
  void Write();
  void OnWritten(const Error& aError);
  bool Keep() const { return mKeepAlive && !mHooks.mStopping(); }

  boost::asio::ip::tcp::socket mSocket;
  const CallerHooks& mHooks;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::function<void()> mOnLeft;
  std::function<void()> mOnDrained;
  std::string mOut;
  std::string mWriting;
  State mState = State::Reading;
  trefoilarch::Millis mSince;
  trefoilarch::CallerLimits mLimits;
  bool mHeadChecked = false;
  bool mKeepAlive = true;
  bool mChunked = false;
  bool mNoBody = false;
  bool mReadPending = false;
};

} // namespace trefoilgate
