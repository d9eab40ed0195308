#pragma once

#include "callerbuffers.h"
#include "callerconnection.h"
#include "clientconnection.h"
#include "connectionpool.h"
#include "dialect.h"
#include "eventtracker.h"
#include "processwatch.h"

#include "libtrefoilarch/requestplan.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace trefoilgate {

class Exchange;
class DecisionLog;
class GateMetrics;

/** What an Exchange uses; owned by the gateway. */
struct ExchangeContext
{
  boost::asio::io_context& mLoop;
  trefoilarch::DirectRouter& mRouter;
  ConnectionPool& mPool;
  ProcessWatch& mWriters;
  const Dialect& mDialect;
  DecisionLog& mLog;
  GateMetrics& mMetrics;
  CallerBuffers& mBuffers;
  /** Called when an upstream has begun a request of this workspace. */
  std::function<void(const std::string&)> mOnBegan;
  /** Called with the upstream whose load report could not be read. */
  std::function<void(const trefoilarch::UpstreamId&)> mOnUnreadableLoad;
  /** Called when the exchange has ended. */
  std::function<void(Exchange*)> mOnEnded;
};

/**
 * Processes one caller's request: carries out the steps of its RequestPlan on
 * pooled connections, and writes the answer.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(ExchangeContext& aContext,
           std::shared_ptr<CallerConnection> aCaller,
           CallerRequest aRequest,
           std::string aId,
           trefoilarch::BoundRequest aBound);

  void Start();
  /** Memory used by the caller's body. */
  size_t BodyBytes() const { return mRequest.mBody->size(); }
  /** The id of the body that was sent last, or 0. */
  trefoilarch::StreamId TransferId() const { return mTransferId; }
  /** The upstream has not read the body within the stall time-out. */
  void OnBodyStalled();
  /** Aborts the exchange, as the process ends. */
  void Abandon();

private:
  using Millis = trefoilarch::Millis;

  void Apply(trefoilarch::PlanStep aStep);
  void StartAttempt(trefoilarch::SendRequest aSend);
  void Hold(trefoilarch::Millis aDelay);
  void OnConnection(uint64_t aAttempt,
                    const ConnectionPool::Connection& aConnection);
  OutgoingCall MakeCall(Millis aTimeLeft);
  /** Counts the body on its way to the upstream; null if it is empty. */
  std::shared_ptr<BodyTransfer> MakeTransfer();
  CallHandlers MakeHandlers();
  void OnHead(UpstreamAnswer aAnswer);
  void OnData(const std::string& aData);
  void OnEnd();
  /** Handles an answer that ended with its connection, which does not prove
   * that it is complete. */
  void OnUnmarkedEnd();
  /** Follows the process that writes the answer, if the end of the answer
   * proves nothing. */
  void FollowWriter();
  /** Passes on an unmarked end that was read at aEndedAt once its process is
   * proven to have survived it. */
  void ResolveUnmarkedEnd(Millis aEndedAt);
  /** Why the unmarked end of the answer can't be passed on; empty if it can. */
  std::string IncompleteReason() const;
  /** Completes the answer to the caller. */
  void FinishAnswer();
  /** Whether the answer consists of events. */
  bool IsEventStream() const;
  /** Finds out whether the attempt's upstream has crashed, unless that is known
   * already, or does not matter. */
  void CheckForCrash(Millis aNow);
  void OnBroken(const std::string& aReason);
  /** Ends an attempt whose answer is incomplete, and continues elsewhere if
   * possible. */
  void BreakAttempt(const std::string& aReason);
  void OnCallerDisconnected();
  void OnTimeUp();
  /** Sends the head if necessary, and the buffered data. */
  void OfferBuffered();
  /** The same, and pauses reading if the caller is slow. */
  void Flush();
  void BeginAnswer();
  /** Pauses reading while the budget allows no more bytes for the caller. */
  void PauseIfCallerIsSlow();
  /** Reports the bytes that are kept here. */
  void CountUnoffered();
  /** Whether bytes may be read for the caller; otherwise OnRoom() follows, and
   * buffered data is sent, as it takes the room of others. */
  bool MayDeliver();
  void OnRoom();
  void OnCallerCut(CutReason aReason);
  /** Whether the answer has no body. */
  bool HasNoBody() const;
  /** The upstream's status line and headers, as forwarded to the caller. */
  AnswerHead MakeHead(std::optional<uint64_t> aLength) const;
  /** Counts the request once for its workspace. */
  void CountBegan();
  /** Records that the answer's content has begun to arrive. */
  void MarkStarted(trefoilarch::Millis aNow);
  void ForwardData(const std::string& aData);
  void Refuse(const trefoilarch::Refusal& aRefusal);
  void Abort(trefoilarch::ErrorKind aKind);
  /** Records the attempt's outcome; leaves the connection alone. */
  void EndAttempt(trefoilarch::AttemptOutcome aOutcome);
  void DropConnection();
  void DiscardAnswer();
  /** Logs the request and ends the exchange. */
  void Close(const char* aOutcome, int aStatus);
  void LogAttempt(const char* aOutcome, const std::string& aReason);
  bool CanResume() const;

  ExchangeContext& mContext;
  std::shared_ptr<CallerConnection> mCaller;
  CallerRequest mRequest;
  std::string mId;
  trefoilarch::RequestPlan mPlan;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mHoldTimer;
  std::optional<trefoilarch::PlacedAttempt> mAttempt;
  /** The most recent attempt, for the log. */
  trefoilarch::PlacedAttempt mLastAttempt;
  /** Age of the list of upstreams when the request was sent; -1 if unknown. */
  int64_t mListAgeMs = -1;
  /** Time since the list was found to lack the upstream; -1 if it is listed. */
  int64_t mUnlistedMs = -1;
  ConnectionPool::Connection mConnection;
  /** When the attempt's request was sent. */
  Millis mRequestSentAt;
  /** Of the process that writes the answer; null if it isn't followed. */
  ProcessWatch::Continuity mWriter;
  std::optional<UpstreamAnswer> mAnswer;
  /** Of the answer's headers. */
  size_t mHeadBytes = 0;
  EventTracker mEvents;
  std::string mBuffered;
  uint64_t mAttemptNumber = 0;
  trefoilarch::StreamId mTransferId = 0;
  /** Why the caller was cut off, or empty. */
  std::string mCutReason;
  Millis mFirstByteAt;
  /** Zero if reading has paused for the caller since then. */
  Millis mLastByteAt;
  /** The upstream's longest pause between two pieces of the answer. */
  Millis mLongestPause;
  bool mAnswerBegun = false;
  /** Whether the caller's answer ends with its connection, as it has begun. */
  bool mEndsCallerConnection = false;
  /** Whether the request is counted. */
  bool mCounted = false;
  bool mDone = false;
  bool mPaused = false;
};

} // namespace trefoilgate
