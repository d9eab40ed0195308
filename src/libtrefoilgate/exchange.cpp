#include "exchange.h"

#include "bootclock.h"
#include "decisionlog.h"
#include "gatemetrics.h"
#include "looptimer.h"
#include "refusalanswer.h"

#include <chrono>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** An answer that is not a stream is buffered up to this size, so that the
 * request can still be retried if the answer breaks off. */
constexpr size_t kMaxBuffered = 65536;

/** With more bytes pending than this, the caller is slow and reading from the
 * upstream pauses. */
constexpr size_t kMaxPending = 262144;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kMinRedirectStatus = 300;
constexpr int kMinServerErrorStatus = 500;

std::string
NotRunReason(int aStatus, const AvailabilityStatement& aStatement)
{
  std::string reason = "status " + std::to_string(aStatus);
  if (aStatement.mPause) {
    reason += ", pause " + std::to_string(aStatement.mPause->Count()) + " ms";
  }
  return reason;
}

} // namespace

Exchange::Exchange(ExchangeContext& aContext,
                   std::shared_ptr<CallerConnection> aCaller,
                   CallerRequest aRequest,
                   std::string aId,
                   BoundRequest aBound)
  : mContext(aContext)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mId(std::move(aId))
  , mPlan(aContext.mRouter, std::move(aBound))
  , mTimer(aContext.mLoop)
  , mHoldTimer(aContext.mLoop)
{
}

void
Exchange::Start()
{
  const auto self = shared_from_this();
  mCaller->OnDisconnected([self] { self->OnCallerDisconnected(); });
  mCaller->OnDrained([self] {
    if (self->mPaused && self->mConnection) {
      self->mPaused = false;
      self->mConnection->Resume();
    }
  });
  const Millis timeLeft = mPlan.Request().mDeadline - BootNow();
  mTimer.expires_after(std::chrono::milliseconds(timeLeft.Count()));
  mTimer.async_wait([self](const boost::system::error_code& aError) {
    if (!aError) {
      self->OnTimeUp();
    }
  });
  Apply(mPlan.Begin(BootNow()));
}

void
Exchange::Abandon()
{
  if (mDone) {
    return;
  }
  EndAttempt(AttemptOutcome::Withdrawn);
  DropConnection();
  Abort(ErrorKind::ShuttingDown);
}

void
Exchange::Apply(PlanStep aStep)
{
  if (auto* send = std::get_if<SendRequest>(&aStep)) {
    StartAttempt(std::move(*send));
  } else if (const auto* hold = std::get_if<HoldRequest>(&aStep)) {
    Hold(hold->mDelay);
  } else if (const auto* answer = std::get_if<AnswerRefusal>(&aStep)) {
    Refuse(answer->mRefusal);
  } else if (const auto* abort = std::get_if<AbortAnswer>(&aStep)) {
    Abort(abort->mKind);
  }
}

void
Exchange::StartAttempt(SendRequest aSend)
{
  mAttempt = std::move(aSend.mAttempt);
  mLastAttempt = *mAttempt;
  mAnswer.reset();
  mAttemptNumber++;
  mContext.mPool.Acquire(mAttempt->mUpstream,
                         mAttempt->mAddress,
                         [self = shared_from_this(), number = mAttemptNumber](
                           const ConnectionPool::Connection& aConnection) {
                           self->OnConnection(number, aConnection);
                         });
}

void
Exchange::Hold(Millis aDelay)
{
  RunAfter(mHoldTimer, aDelay, [self = shared_from_this()] {
    if (!self->mDone) {
      self->Apply(self->mPlan.OnHoldElapsed(BootNow()));
    }
  });
}

void
Exchange::OnConnection(uint64_t aAttempt,
                       const ConnectionPool::Connection& aConnection)
{
  if (mDone || aAttempt != mAttemptNumber || !mAttempt) {
    if (aConnection && aAttempt == mAttemptNumber) {
      mContext.mPool.Release(mLastAttempt.mUpstream, aConnection);
    } else if (aConnection) {
      aConnection->Close();
    }
    return;
  }
  const Millis now = BootNow();
  if (!aConnection) {
    LogAttempt("unreachable", "no connection");
    EndAttempt(AttemptOutcome::Unreachable);
    Apply(mPlan.OnUnreachable(now));
    return;
  }
  if (!mPlan.MaySend(now)) {
    // The upstream began to leave or asked for a pause, or the key was revoked,
    // while the connection was being established.
    mContext.mPool.Release(mAttempt->mUpstream, aConnection);
    LogAttempt("not_sent", "the upstream accepts no requests, or not this key");
    EndAttempt(AttemptOutcome::Withdrawn);
    Apply(mPlan.OnUnreachable(now));
    return;
  }
  mConnection = aConnection;
  mListAgeMs = mContext.mRouter.ListFreshness().AgeMs(now);
  const auto& unlisted = mContext.mRouter.Directory().Unlisted();
  const auto unlistedUpstream = unlisted.find(mAttempt->mUpstream);
  mUnlistedMs = unlistedUpstream == unlisted.end()
                  ? -1
                  : (now - unlistedUpstream->second.mSince).Count();
  mPlan.OnSending();
  mConnection->Send(MakeCall(mPlan.Request().mDeadline - now), MakeHandlers());
}

OutgoingCall
Exchange::MakeCall(Millis aTimeLeft) const
{
  const BoundRequest& bound = mPlan.Request();
  const OutgoingRequestInfo info{ .mUpstream = mAttempt->mUpstream,
                                  .mWorkspace = bound.mWorkspace,
                                  .mPriority = bound.mPriority,
                                  .mRoutePriority = bound.mRoutePriority,
                                  .mTimeLeft = aTimeLeft,
                                  .mHolderAddress = mAttempt->mHolderAddress,
                                  .mBackupAddress = mAttempt->mBackupAddress,
                                  .mCopySourceAddress =
                                    mAttempt->mCopySourceAddress,
                                  .mLastEventId = mEvents.LastEventId() };
  std::string head =
    mRequest.mMethod + " " + mRequest.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] :
       mContext.mDialect.mOutgoing(mRequest, info)) {
    AppendField(head, name, value);
  }
  if (mRequest.mHasBody) {
    AppendField(head, "Content-Length", std::to_string(mRequest.mBody->size()));
  }
  head += "\r\n";
  return OutgoingCall{ .mHead = std::move(head),
                       .mBody = mRequest.mBody,
                       .mNoBody = mRequest.mMethod == "HEAD" };
}

CallHandlers
Exchange::MakeHandlers()
{
  const auto self = shared_from_this();
  return CallHandlers{
    .mIsOurs =
      [self](const UpstreamAnswer& aAnswer) {
        return self->mContext.mDialect.mClassify(aAnswer, self->mId) !=
               AnswerValidity::Mismatched;
      },
    .mOnHead =
      [self](UpstreamAnswer aAnswer) { self->OnHead(std::move(aAnswer)); },
    .mOnData = [self](const std::string& aData) { self->OnData(aData); },
    .mOnEnd = [self] { self->OnEnd(); },
    .mOnBroken = [self](const std::string& aReason) { self->OnBroken(aReason); }
  };
}

void
Exchange::OnHead(UpstreamAnswer aAnswer)
{
  const Millis now = BootNow();
  mContext.mRouter.OnBytesReceived(*mAttempt, now);
  const LoadStatement load = mContext.mDialect.mLoad(aAnswer);
  if (load.mLoad) {
    mContext.mRouter.OnReport(*mAttempt, *load.mLoad, now);
  }
  if (load.mContention) {
    mContext.mRouter.Load().OnContention(
      mAttempt->mUpstream, *load.mContention, now);
  }
  if (load.mInvalid) {
    mContext.mOnUnreadableLoad(mAttempt->mUpstream);
  }
  mContext.mRouter.OnRateLimit(
    *mAttempt, mContext.mDialect.mLimit(aAnswer), now);
  const AnswerValidity validity = mContext.mDialect.mClassify(aAnswer, mId);
  // An answer without the upstream's seal may be corrupt.
  const AvailabilityStatement availability =
    validity == AnswerValidity::Unsealed
      ? AvailabilityStatement{}
      : mContext.mDialect.mAvailability(aAnswer);
  mContext.mRouter.OnAvailabilityStatement(*mAttempt, availability, now);
  if (validity == AnswerValidity::NotRun) {
    LogAttempt("not_run", NotRunReason(aAnswer.mStatus, availability));
    DiscardAnswer();
    EndAttempt(AttemptOutcome::Refused);
    Apply(mPlan.OnNotRun(now));
    return;
  }
  if (validity == AnswerValidity::Unsealed) {
    DropConnection();
    OnBroken("a success without the upstream's seal");
    return;
  }
  if (mAnswerBegun && aAnswer.mStatus >= kMinRedirectStatus) {
    DropConnection();
    OnBroken("status " + std::to_string(aAnswer.mStatus) +
             " instead of events");
    return;
  }
  PlanStep step = mPlan.OnHead(aAnswer.mStatus, now);
  if (std::holds_alternative<SendRequest>(step)) {
    LogAttempt("failed", "status " + std::to_string(aAnswer.mStatus));
    DiscardAnswer();
    EndAttempt(AttemptOutcome::Failed);
    Apply(std::move(step));
    return;
  }
  mAnswer = std::move(aAnswer);
}

void
Exchange::OnData(const std::string& aData)
{
  const Millis now = BootNow();
  mContext.mRouter.OnBytesReceived(*mAttempt, now);
  MarkStarted(now);
  if (mFirstByteAt == Millis(0)) {
    mFirstByteAt = now;
  } else {
    mLongestPause = std::max(mLongestPause, now - mLastByteAt);
    mContext.mRouter.OnPause(*mAttempt, now - mLastByteAt, now);
  }
  mLastByteAt = now;
  if (mPlan.Request().mRoute->mStream &&
      mAnswer->mStatus < kMinRedirectStatus) {
    ForwardData(mEvents.Add(aData));
    return;
  }
  mBuffered += aData;
  if (mAnswerBegun || mBuffered.size() > kMaxBuffered) {
    Flush();
  }
}

void
Exchange::CountBegan()
{
  if (mCounted) {
    return;
  }
  mCounted = true;
  mContext.mOnBegan(mPlan.Request().mWorkspace);
}

void
Exchange::MarkStarted(Millis aNow)
{
  CountBegan();
  // The body of a failure does not count as a start: it would improve the
  // upstream's record.
  if (!mAnswer || mAnswer->mStatus < kMinServerErrorStatus) {
    mContext.mRouter.OnStarted(*mAttempt, aNow);
  }
}

void
Exchange::ForwardData(const std::string& aData)
{
  if (mEvents.HasGap()) {
    DropConnection();
    EndAttempt(AttemptOutcome::Broken);
    Abort(ErrorKind::AnswerCut);
    return;
  }
  if (aData.empty()) {
    return;
  }
  if (!mAnswerBegun) {
    BeginAnswer();
  }
  mCaller->WriteAnswer(aData);
  PauseIfCallerIsSlow();
}

void
Exchange::Flush()
{
  if (!mAnswerBegun) {
    BeginAnswer();
  }
  mCaller->WriteAnswer(mBuffered);
  mBuffered.clear();
  PauseIfCallerIsSlow();
}

void
Exchange::PauseIfCallerIsSlow()
{
  if (mCaller->PendingBytes() > kMaxPending) {
    mPaused = true;
    mConnection->Pause();
  }
}

bool
Exchange::HasNoBody() const
{
  return mRequest.mMethod == "HEAD" || mAnswer->mStatus == kNoContent ||
         mAnswer->mStatus == kNotModified;
}

AnswerHead
Exchange::MakeHead(std::optional<uint64_t> aLength) const
{
  return { .mStatus = mAnswer->mStatus,
           .mReason = mAnswer->mReason,
           .mHeaders = mAnswer->mHeaders,
           .mLength = aLength,
           .mNoBody = HasNoBody() };
}

void
Exchange::BeginAnswer()
{
  mAnswerBegun = true;
  mPlan.OnAnswerBegun();
  // A stream that may continue at another upstream has no known length.
  mCaller->BeginAnswer(MakeHead(CanResume() ? std::nullopt : mAnswer->mLength));
}

void
Exchange::OnEnd()
{
  const Millis now = BootNow();
  MarkStarted(now);
  const int status = mAnswer ? mAnswer->mStatus : 0;
  if (mAnswer && mAnswer->mEndsWithConnection) {
    OnUncertainEnd(now);
  }
  mContext.mPool.Release(mAttempt->mUpstream, mConnection);
  mConnection.reset();
  EndAttempt(status < kMinServerErrorStatus ? AttemptOutcome::Good
                                            : AttemptOutcome::Failed);
  // An incomplete event at the end of an answer is forwarded as the upstream
  // sent it.
  mBuffered += mEvents.Remainder();
  if (mAnswerBegun) {
    mCaller->WriteAnswer(mBuffered);
    mCaller->EndAnswer();
  } else {
    const auto length = HasNoBody() ? mAnswer->mLength
                                    : std::optional<uint64_t>(mBuffered.size());
    mCaller->Answer(MakeHead(length), mBuffered);
  }
  Close(status < kMinServerErrorStatus ? "served" : "upstream_failed", status);
}

void
Exchange::OnUncertainEnd(Millis aNow)
{
  // The kernel of a crashed upstream closes its connections in the same way.
  mAttempt->mProvesHarmless = false;
  CheckForCrash(aNow);
}

void
Exchange::CheckForCrash(Millis aNow)
{
  if (mContext.mRouter.OnConnectionLost(*mAttempt, aNow)) {
    mContext.mPool.CheckListening(mAttempt->mUpstream, mAttempt->mAddress);
  }
}

void
Exchange::OnBroken(const std::string& aReason)
{
  LogAttempt("broken", aReason);
  mConnection.reset();
  CheckForCrash(BootNow());
  EndAttempt(AttemptOutcome::Broken);
  mBuffered.clear();
  const bool canResume = CanResume();
  PlanStep step = mPlan.OnBroken(canResume, BootNow());
  if (std::holds_alternative<SendRequest>(step) ||
      std::holds_alternative<HoldRequest>(step)) {
    mEvents.BeginNextRun();
  }
  Apply(std::move(step));
}

void
Exchange::OnCallerDisconnected()
{
  if (mDone) {
    return;
  }
  const Millis waited = BootNow() - mRequest.mArrivedAt;
  const bool startIsLate = mAttempt && !mAttempt->mStarted &&
                           waited > mPlan.Request().mRoute->mFirstTokenTarget;
  DropConnection();
  EndAttempt(startIsLate ? AttemptOutcome::Broken : AttemptOutcome::Withdrawn);
  Close("caller_left", 0);
}

void
Exchange::OnTimeUp()
{
  if (mDone) {
    return;
  }
  const bool startIsLate = mAttempt && !mAttempt->mStarted;
  DropConnection();
  EndAttempt(startIsLate ? AttemptOutcome::Broken : AttemptOutcome::Withdrawn);
  Apply(mPlan.OnTimeUp(BootNow()));
}

void
Exchange::Refuse(const Refusal& aRefusal)
{
  const ErrorAnswer& answer = AnswerFor(aRefusal.mKind);
  mCaller->Answer(RefusalHead(aRefusal), RefusalBody(aRefusal));
  mContext.mMetrics.OnRefusal(answer.mName);
  Close(answer.mName.data(), answer.mHttpStatus);
}

void
Exchange::Abort(ErrorKind aKind)
{
  mCaller->AbortAnswer();
  Close(Name(aKind).data(), 0);
}

void
Exchange::EndAttempt(AttemptOutcome aOutcome)
{
  if (!mAttempt) {
    return;
  }
  mContext.mRouter.OnEnded(*mAttempt, aOutcome, BootNow());
  mContext.mMetrics.OnAttempt(aOutcome);
  mAttempt.reset();
}

void
Exchange::DropConnection()
{
  if (mConnection) {
    mConnection->Close();
    mConnection.reset();
  }
}

void
Exchange::DiscardAnswer()
{
  // The rest of the answer is read and discarded, and the connection reused.
  mConnection->ReplaceHandlers(ConnectionPool::DiscardHandlers(
    mContext.mPool, mAttempt->mUpstream, mConnection));
  mConnection.reset();
}

bool
Exchange::CanResume() const
{
  return mPlan.Request().mRoute->mRetryMode == RetryMode::Resumable;
}

} // namespace trefoilgate
