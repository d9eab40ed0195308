#pragma once

#include "callerconnection.h"
#include "clientconnection.h"
#include "connectionpool.h"
#include "dialect.h"
#include "eventtracker.h"

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

/** What an Exchange works with; owned by the gateway. */
struct ExchangeContext
{
  boost::asio::io_context& mLoop;
  trefoilarch::DirectRouter& mRouter;
  ConnectionPool& mPool;
  const Dialect& mDialect;
  DecisionLog& mLog;
  GateMetrics& mMetrics;
  /** The exchange has ended. */
  std::function<void(Exchange*)> mOnEnded;
};

/**
 * One caller's request on its way: carries out what its RequestPlan says, on
 * the connections of the pool, and writes the answer.
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
  /** Memory that the caller's body takes. */
  size_t BodyBytes() const { return mRequest.mBody->size(); }
  /** The process ends: whatever is open is cut. */
  void Abandon();

private:
  using Millis = trefoilarch::Millis;

  void Apply(trefoilarch::PlanStep aStep);
  void SendTo(trefoilarch::SendRequest aSend);
  void Hold(trefoilarch::Millis aSpan);
  void OnConnection(uint64_t aAttempt,
                    const ConnectionPool::Connection& aConnection);
  OutgoingCall MakeCall(Millis aTimeLeft) const;
  CallHandlers MakeHandlers();
  void OnHead(UpstreamAnswer aAnswer);
  void OnData(const std::string& aData);
  void OnEnd();
  /** The answer ended with its connection, which proves nothing. */
  void DoubtEnd(Millis aNow);
  /** Finds out whether the attempt's upstream has crashed. */
  void AskIfCrashed(Millis aNow);
  void OnBroken(const std::string& aWhy);
  void OnCallerLeft();
  void OnTimeUp();
  /** Sends what is buffered, the head first. */
  void Flush();
  void BeginAnswer();
  /** Reads no further while the caller has much untaken. */
  void HoldBackIfSlow();
  /** The answer is a head alone. */
  bool HasNoBody() const;
  /** The upstream's head, as it goes to the caller. */
  AnswerHead HeadWith(std::optional<uint64_t> aLength) const;
  /** The answer's content has begun to come. */
  void MarkStarted(trefoilarch::Millis aNow);
  void PassData(const std::string& aData);
  void Refuse(const trefoilarch::Refusal& aRefusal);
  void Cut(trefoilarch::ErrorKind aKind);
  /** Counts the attempt as ended; the connection is let go or kept. */
  void EndAttempt(trefoilarch::AttemptOutcome aOutcome);
  void DropConnection();
  void SetAside();
  /** Writes the request's line and ends the exchange. */
  void Close(const char* aOutcome, int aStatus);
  void LogAttempt(const char* aWhat, const std::string& aWhy);
  bool CanGoOn() const;

  ExchangeContext& mContext;
  std::shared_ptr<CallerConnection> mCaller;
  CallerRequest mRequest;
  std::string mId;
  trefoilarch::RequestPlan mPlan;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mHoldTimer;
  std::optional<trefoilarch::PlacedAttempt> mAttempt;
  /** The newest attempt, for the log. */
  trefoilarch::PlacedAttempt mLastPlaced;
  /** How old the list of upstreams was when it was sent; -1 for unknown. */
  int64_t mListAgeMs = -1;
  /** Since the list was read to lack the upstream; -1 where it did not. */
  int64_t mUnlistedMs = -1;
  ConnectionPool::Connection mConnection;
  std::optional<UpstreamAnswer> mAnswer;
  EventTracker mEvents;
  std::string mBuffered;
  uint64_t mAttemptNumber = 0;
  Millis mFirstByteAt;
  Millis mLastByteAt;
  /** The longest pause between two parts of the answer. */
  Millis mLongestPause;
  bool mBegun = false;
  bool mDone = false;
  bool mPaused = false;
};

} // namespace trefoilgate
