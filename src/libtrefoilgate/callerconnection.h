#pragma once

#include "callerbuffers.h"
#include "callermemory.h"
#include "calleruploads.h"
#include "headerblock.h"
#include "httpfields.h"
#include "parsequeue.h"
#include "requestparser.h"
#include "socketoptions.h"
#include "writequeue.h"

#include "libtrefoilarch/millis.h"
#include "libtrefoilarch/routepolicy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoilgate {

/** A caller on a bad line may be silent for seconds. */
inline constexpr KeepaliveOptions kCallerKeepalive{ .mUserTimeout =
                                                      trefoilarch::Millis(8000),
                                                    .mKeepaliveIdleSeconds = 5,
                                                    .mKeepaliveProbes = 3 };

/** A complete request of a caller. */
struct CallerRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  /** Only end-to-end headers. */
  HeaderBlock mHeaders;
  /** Its memory is counted until the last reference is released. */
  std::shared_ptr<const std::string> mBody;
  /** It has a Content-Length or is chunked, even if the body is empty. */
  bool mHasBody = false;
  /** When its first byte was read. */
  trefoilarch::Millis mArrivedAt;
};

/** The status line and headers of an answer to a caller. */
struct AnswerHead
{
  int mStatus = 200;
  std::string mReason;
  Headers mHeaders;
  /** Absent for a body that is chunked or ends with the connection. */
  std::optional<uint64_t> mLength;
  /** There is no body, as after HEAD or with status 204 and 304. */
  bool mNoBody = false;
  /** Only the end of the connection marks the end of the body, as it is not
   * known whether the body is complete. */
  bool mEndsWithConnection = false;
  /** When the caller may come back. */
  trefoilarch::Millis mRetryAfter;
};

class CallerConnection;

/** A request that was rejected before it was complete. */
struct RejectedRequest
{
  int mStatus = 0;
  const char* mReason = "";
  /** The limit that it exceeded; empty if it is malformed. */
  const char* mLimit = "";
  /** The caller's address. */
  std::string mCaller;
};

/** Callbacks of a CallerConnection to its owner. */
struct CallerHooks
{
  /** Called with each complete request. The owner responds through
   * BeginAnswer(), WriteAnswer() and EndAnswer(), or Answer(). */
  std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>
    mOnRequest;
  /** Returns the limits in force. */
  std::function<trefoilarch::CallerLimits()> mLimits;
  /** Whether the process is stopping; the connection is then closed after the
   * current answer. */
  std::function<bool()> mStopping;
  /** Called when the connection has closed. */
  std::function<void(CallerConnection*)> mOnClosed;
  /** Called when a request can't be parsed or exceeds a limit. */
  std::function<void(const RejectedRequest&)> mOnRejected;
  /** Called with a request whose body is not read, as there is no memory for
   * it. The owner answers. */
  std::function<void(const std::shared_ptr<CallerConnection>&,
                     const CallerRequest&)>
    mOnNoMemory;
  /** Returns the workspace of a request whose body is not read yet; empty if it
   * is not known. */
  std::function<std::string(const CallerRequest&)> mWorkspaceOf;
  /** Bounds the bytes held for callers; null: not bounded. */
  CallerBuffers* mBuffers = nullptr;
  /** Bounds the memory of callers' requests; null: not bounded. */
  CallerUploads* mUploads = nullptr;
  /** Bounds the memory of all connections; null: not bounded. */
  CallerMemory* mMemory = nullptr;
  /** Where heads that take long to parse wait for their turn; null: they are
   * parsed at once. */
  ParseQueue* mParseQueue = nullptr;
};

/** In which order connections are closed that others need. */
struct ClosingRank
{
  /** The connection has served a request. */
  bool mUsed = false;
  /** Since when it has been without a complete request. */
  trefoilarch::Millis mSince;

  auto operator<=>(const ClosingRank&) const = default;
};

/**
 * One connection of a caller. Reads one request at a time with strict parsing
 * and writes its answer; the next request is parsed once the kernel has the
 * answer. While a request is served, it watches for the caller to close the
 * connection.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(boost::asio::ip::tcp::socket aSocket,
                   const CallerHooks& aHooks);

  void Start();

  /** Sets the handler called if the caller closes the connection before its
   * answer is complete. */
  void OnDisconnected(std::function<void()> aOnDisconnected)
  {
    mOnDisconnected = std::move(aOnDisconnected);
  }
  /** Sets the handler called when there is room for more bytes after
   * AwaitRoom(). */
  void OnRoom(std::function<void()> aOnRoom) { mOnRoom = std::move(aOnRoom); }
  /** Sets the handler called if the caller is cut off before its answer is
   * complete. */
  void OnCut(std::function<void(CutReason)> aOnCut)
  {
    mOnCut = std::move(aOnCut);
  }
  /** Sets the request whose answer follows, and its urgency; 0 is the most
   * urgent. */
  void SetRequest(std::string aId, uint8_t aPriority)
  {
    mRequestId = std::move(aId);
    mPriority = aPriority;
  }

  void BeginAnswer(const AnswerHead& aHead);
  void WriteAnswer(std::string_view aData);
  /** Completes the answer; the next request may be read. */
  void EndAnswer();
  /** Sends an answer that is at hand as a whole. */
  void Answer(AnswerHead aHead, std::string_view aBody);
  /** Closes the connection, so that the caller sees an incomplete answer. */
  void AbortAnswer();

  /** Whether bytes of an answer may be read for this caller. */
  bool HasRoom() const;
  /** Requires !HasRoom(). */
  void AwaitRoom();
  /** Bytes of the answer that its owner keeps for now. */
  void SetUnoffered(size_t aBytes);
  /** All memory that the connection takes. */
  size_t MemoryBytes() const;
  /** `IP:PORT`; empty if the caller has gone. */
  std::string Peer() const;
  /** Lower ranks are closed first; empty while a request is being served. */
  std::optional<ClosingRank> Rank() const;
  /** Calls the handler set by OnRoom(). */
  void ResumeReading();
  /** There is memory for the request that waits for it. */
  void OnUploadAdmitted();
  /** The head that waits in the ParseQueue may be parsed. */
  void OnParseTurn();
  /** Whether the caller has read bytes since the last call, as the kernel
   * knows. To be called while bytes are held for the caller. */
  bool TakeProgress();
  /** Closes the connection of a caller that is given up; drops what the kernel
   * holds for it. */
  void Cut(CutReason aReason);
  /** As set by SetRequest(). */
  const std::string& RequestId() const { return mRequestId; }
  uint8_t Priority() const { return mPriority; }
  /** Whether no request is being read or served, and the answers are written.
   */
  bool Idle() const;
  /** How long the connection has been idle; zero if it is not idle. */
  trefoilarch::Millis IdleTime(trefoilarch::Millis aNow) const
  {
    return Idle() ? aNow - mPhaseStartedAt : trefoilarch::Millis(0);
  }
  /** Closes the connection if it is idle, or its request incomplete, for too
   * long. */
  void CheckTimeouts(trefoilarch::Millis aNow);
  void Close();

private:
  using Error = boost::system::error_code;

  /** The request's and the one that is forwarded. */
  static constexpr size_t kCopiesOfHead = 2;

  enum class State : uint8_t
  {
    Reading,
    Serving,
    Closing, /**< the last answer is being written */
    /** The last answer is written; what the caller still sends is discarded, as
     * a close would reset the connection before the caller has the answer. */
    Discarding,
    Closed,
  };

  /** Whether no part of the next request has been read. */
  bool AwaitsRequest() const;
  void NewParser();
  void Read();
  /** Maximum bytes of the next read; 0 while nothing may be read. */
  size_t ReadSize() const;
  void OnReadable(const Error& aError);
  /** Reads into the buffer that all connections share. */
  std::string_view Receive(Error& aError);
  void OnRead(std::string_view aBytes);
  /** Parses what was read, and reads on. */
  void Continue();
  void Parse();
  /** Parses one step; false if no progress is possible for now. */
  bool ParseStep();
  std::string_view Unparsed() const
  {
    return std::string_view(mInput).substr(mParsedBytes);
  }
  /** Releases the memory of bytes that are parsed. */
  void DropParsed();
  /** Whether the parser may begin a request: skips empty lines before it. */
  bool BeginRequest();
  /** Whether the head may be parsed now; if not, OnParseTurn() follows. */
  bool TakeParseTurn();
  /** Whether the head is known to be short, or is incomplete so far. */
  bool IsShortHead() const;
  /** Rejects a head or framing that exceeds its limit. */
  bool CheckParsed();
  bool CheckHead();
  /** Requests the memory for what has been read and may follow. False if the
   * connection has to wait for it; OnUploadAdmitted() follows. */
  bool EnsureMemory();
  bool RequestMemory(trefoilarch::UploadNeed aNeed);
  /** Lets the parser continue with the body. */
  void BeginBody();
  /** Rejects a request that waits for memory, or holds it, for too long. */
  void CheckUpload();
  void RejectUpload();
  /** Releases the memory of a request that is not complete. */
  void DropUpload();
  /** The request whose head was read, without its body. */
  CallerRequest MakeRequest() const;
  /** Whether the next request is not parsed yet, as answers are to be written
   * or a refusal's Retry-After has not elapsed. */
  bool HoldsNextRequest() const;
  /** Holds requests that were sent ahead of a refusal. */
  void HoldNextRequest(trefoilarch::Millis aDelay);
  /** Takes the body from the parser. */
  std::shared_ptr<const std::string> TakeBody();
  void Dispatch();
  void Reject(int aStatus, const char* aReason, const char* aLimit = "");
  void RejectMalformed(const Error& aError);
  /** Drops what was read; an answer and the end of the connection follow. */
  void RefuseUnread();
  void Write();
  /** Whether a close resets the connection and drops unsent bytes. */
  void SetResetOnClose(bool aReset);
  /** Closes the connection so that the caller reads all that was written. */
  void CloseRegularly();
  void OnWritten(const Error& aError, size_t aBytes);
  /** Reports what has been added to or taken from the bytes held. */
  void CountHeldBytes();
  /** Reports the memory that the connection takes. */
  void CountMemory();
  /** Closes connections if all of them take more memory than they may. */
  void BoundMemory();
  /** The parts of a request that is being read, apart from unparsed bytes. */
  size_t RequestBytes() const;
  /** Sets who decides how long a caller may not read; see mOwnTimeout. */
  void SetOwnTimeout(bool aOwn);
  bool KeepsAlive() const { return mKeepAlive && !mHooks.mStopping(); }

  boost::asio::ip::tcp::socket mSocket;
  const CallerHooks& mHooks;
  /** What was read and is not parsed yet, after bytes that are. */
  std::string mInput;
  size_t mParsedBytes = 0;
  std::optional<RequestParser> mParser;
  std::function<void()> mOnDisconnected;
  std::function<void()> mOnRoom;
  std::function<void(CutReason)> mOnCut;
  WriteQueue mUnsent;
  std::string mRequestId;
  trefoilarch::StreamId mStream = 0;
  trefoilarch::ConnectionId mMemoryId = 0;
  /** Of the request that is being served. */
  size_t mServedBytes = 0;
  /** As last reported by CountHeldBytes(). */
  size_t mHeldBytes = 0;
  /** As last reported by SetUnoffered(). */
  size_t mUnoffered = 0;
  /** Bytes that the kernel has taken, and those that the caller has read. */
  uint64_t mWrittenBytes = 0;
  uint64_t mReadBytes = 0;
  State mState = State::Reading;
  trefoilarch::Millis mPhaseStartedAt;
  trefoilarch::CallerLimits mLimits;
  /** Of the request that is being read. */
  std::shared_ptr<UploadMemory> mUpload;
  size_t mHeadBytes = 0;
  /** Of empty lines before the request. */
  size_t mEmptyLineBytes = 0;
  /** The request without its body, once its head is complete. */
  std::optional<CallerRequest> mRequest;
  /** Bytes of the body that the memory is for. */
  size_t mBodyRoom = 0;
  /** Since when nothing is read, as there is no memory. */
  std::optional<trefoilarch::Millis> mWaitsSince;
  /** Since when the head has waited in the ParseQueue. */
  std::optional<trefoilarch::Millis> mTurnAwaitedSince;
  ParseTurnId mParseTurn = 0;
  /** How long the request has waited for memory and its turn before. */
  trefoilarch::Millis mWaitTime;
  bool mHeadChecked = false;
  bool mHasParseTurn = false;
  bool mKeepAlive = true;
  /** A request was dispatched before. */
  bool mUsed = false;
  /** The answer is to a request that was not read to its end. */
  bool mRequestUnread = false;
  bool mChunked = false;
  bool mNoBody = false;
  /** Requests that were sent ahead wait for it; set when first needed. */
  std::optional<boost::asio::steady_timer> mHoldTimer;
  bool mHolding = false;
  /** See AnswerHead; of the answer that has begun. */
  bool mEndsWithConnection = false;
  bool mReadPending = false;
  bool mParsing = false;
  bool mWritePending = false;
  /** Whether the budget decides when a caller that does not read is cut off,
   * and not the kernel. */
  bool mOwnTimeout = false;
  uint8_t mPriority = 0;
};

} // namespace trefoilgate
