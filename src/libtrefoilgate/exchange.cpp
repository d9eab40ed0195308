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

/** An answer that is no stream is passed on whole up to this size, so that
 * one that breaks off can still be asked for again. */
constexpr size_t kMostBuffered = 65536;

/** A caller that has this much untaken is slow: the upstream waits. */
constexpr size_t kMostPending = 262144;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kAfterSuccess = 300;
constexpr int kLeastFailure = 500;

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
  mCaller->OnDisconnected([self] { self->OnCallerLeft(); });
  mCaller->OnDrained([self] {
    if (self->mPaused && self->mConnection) {
      self->mPaused = false;
      self->mConnection->Resume();
    }
  });
  const Millis left = mPlan.Request().mDeadline - BootNow();
  mTimer.expires_after(std::chrono::milliseconds(left.Count()));
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
  Cut(ErrorKind::ShuttingDown);
}

void
Exchange::Apply(PlanStep aStep)
{
  if (auto* send = std::get_if<SendRequest>(&aStep)) {
    SendTo(std::move(*send));
  } else if (const auto* hold = std::get_if<HoldRequest>(&aStep)) {
    Hold(hold->mDelay);
  } else if (const auto* answer = std::get_if<AnswerRefusal>(&aStep)) {
    Refuse(answer->mRefusal);
  } else if (const auto* cut = std::get_if<AbortAnswer>(&aStep)) {
    Cut(cut->mKind);
  }
}

void
Exchange::SendTo(SendRequest aSend)
{
  mAttempt = std::move(aSend.mAttempt);
  mLastPlaced = *mAttempt;
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
Exchange::Hold(Millis aSpan)
{
  RunAfter(mHoldTimer, aSpan, [self = shared_from_this()] {
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
      mContext.mPool.Release(mLastPlaced.mUpstream, aConnection);
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
    // It began to leave while the connection was made.
    mContext.mPool.Release(mAttempt->mUpstream, aConnection);
    LogAttempt("not_sent", "the upstream or the key went meanwhile");
    EndAttempt(AttemptOutcome::Withdrawn);
    Apply(mPlan.OnUnreachable(now));
    return;
  }
  mConnection = aConnection;
  mListAgeMs = mContext.mRouter.ListFreshness().AgeMs(now);
  const auto& unlisted = mContext.mRouter.Directory().Unlisted();
  const auto kept = unlisted.find(mAttempt->mUpstream);
  mUnlistedMs =
    kept == unlisted.end() ? -1 : (now - kept->second.mSince).Count();
  mPlan.OnSending();
  mConnection->Send(MakeCall(mPlan.Request().mDeadline - now), MakeHandlers());
}

OutgoingCall
Exchange::MakeCall(Millis aTimeLeft) const
{
  const BoundRequest& bound = mPlan.Request();
  const OutgoingRequestInfo marks{ .mUpstream = mAttempt->mUpstream,
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
       mContext.mDialect.mOutgoing(mRequest, marks)) {
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
    .mOnBroken = [self](const std::string& aWhy) { self->OnBroken(aWhy); }
  };
}

void
Exchange::OnHead(UpstreamAnswer aAnswer)
{
  const Millis now = BootNow();
  mContext.mRouter.OnBytesReceived(*mAttempt, now);
  if (const auto load = mContext.mDialect.mLoad(aAnswer)) {
    mContext.mRouter.OnReport(*mAttempt, *load, now);
  }
  mContext.mRouter.OnRateLimit(
    *mAttempt, mContext.mDialect.mLimit(aAnswer), now);
  const AnswerValidity meaning = mContext.mDialect.mClassify(aAnswer, mId);
  if (meaning == AnswerValidity::NotRun) {
    LogAttempt("not_run", "status " + std::to_string(aAnswer.mStatus));
    SetAside();
    EndAttempt(AttemptOutcome::Refused);
    Apply(mPlan.OnNotRun(now));
    return;
  }
  if (meaning == AnswerValidity::Unsealed) {
    DropConnection();
    OnBroken("a success without the upstream's seal");
    return;
  }
  if (mBegun && aAnswer.mStatus >= kAfterSuccess) {
    DropConnection();
    OnBroken("status " + std::to_string(aAnswer.mStatus) +
             " instead of events");
    return;
  }
  PlanStep step = mPlan.OnHead(aAnswer.mStatus, now);
  if (std::holds_alternative<SendRequest>(step)) {
    LogAttempt("failed", "status " + std::to_string(aAnswer.mStatus));
    SetAside();
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
  if (mPlan.Request().mRoute->mStream && mAnswer->mStatus < kAfterSuccess) {
    PassData(mEvents.Add(aData));
    return;
  }
  mBuffered += aData;
  if (mBegun || mBuffered.size() > kMostBuffered) {
    Flush();
  }
}

void
Exchange::MarkStarted(Millis aNow)
{
  // A failure's body is no start: it would speak for the upstream.
  if (!mAnswer || mAnswer->mStatus < kLeastFailure) {
    mContext.mRouter.OnStarted(*mAttempt, aNow);
  }
}

void
Exchange::PassData(const std::string& aData)
{
  if (mEvents.HasGap()) {
    DropConnection();
    EndAttempt(AttemptOutcome::Broken);
    Cut(ErrorKind::AnswerCut);
    return;
  }
  if (aData.empty()) {
    return;
  }
  if (!mBegun) {
    BeginAnswer();
  }
  mCaller->WriteAnswer(aData);
  HoldBackIfSlow();
}

void
Exchange::Flush()
{
  if (!mBegun) {
    BeginAnswer();
  }
  mCaller->WriteAnswer(mBuffered);
  mBuffered.clear();
  HoldBackIfSlow();
}

void
Exchange::HoldBackIfSlow()
{
  if (mCaller->PendingBytes() > kMostPending) {
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
Exchange::HeadWith(std::optional<uint64_t> aLength) const
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
  mBegun = true;
  mPlan.OnAnswerBegun();
  // A stream that may go on at another upstream has no length of its own.
  mCaller->BeginAnswer(HeadWith(CanGoOn() ? std::nullopt : mAnswer->mLength));
}

void
Exchange::OnEnd()
{
  const Millis now = BootNow();
  MarkStarted(now);
  const int status = mAnswer ? mAnswer->mStatus : 0;
  if (mAnswer && mAnswer->mEndsWithConnection) {
    DoubtEnd(now);
  }
  mContext.mPool.Release(mAttempt->mUpstream, mConnection);
  mConnection.reset();
  EndAttempt(status < kLeastFailure ? AttemptOutcome::Good
                                    : AttemptOutcome::Failed);
  // What is no whole event at the end is the upstream's to answer for.
  mBuffered += mEvents.Remainder();
  if (mBegun) {
    mCaller->WriteAnswer(mBuffered);
    mCaller->EndAnswer();
  } else {
    const auto length = HasNoBody() ? mAnswer->mLength
                                    : std::optional<uint64_t>(mBuffered.size());
    mCaller->Answer(HeadWith(length), mBuffered);
  }
  Close(status < kLeastFailure ? "served" : "upstream_failed", status);
}

void
Exchange::DoubtEnd(Millis aNow)
{
  // The kernel of an upstream that crashes ends its connections alike.
  mAttempt->mProvesHarmless = false;
  AskIfCrashed(aNow);
}

void
Exchange::AskIfCrashed(Millis aNow)
{
  if (mContext.mRouter.OnConnectionLost(*mAttempt, aNow)) {
    mContext.mPool.CheckListening(mAttempt->mUpstream, mAttempt->mAddress);
  }
}

void
Exchange::OnBroken(const std::string& aWhy)
{
  LogAttempt("broken", aWhy);
  mConnection.reset();
  AskIfCrashed(BootNow());
  EndAttempt(AttemptOutcome::Broken);
  mBuffered.clear();
  const bool canGoOn = CanGoOn();
  PlanStep step = mPlan.OnBroken(canGoOn, BootNow());
  if (std::holds_alternative<SendRequest>(step) ||
      std::holds_alternative<HoldRequest>(step)) {
    mEvents.BeginNextRun();
  }
  Apply(std::move(step));
}

void
Exchange::OnCallerLeft()
{
  if (mDone) {
    return;
  }
  const Millis waited = BootNow() - mRequest.mArrivedAt;
  const bool late = mAttempt && !mAttempt->mStarted &&
                    waited > mPlan.Request().mRoute->mFirstTokenTarget;
  DropConnection();
  EndAttempt(late ? AttemptOutcome::Broken : AttemptOutcome::Withdrawn);
  Close("caller_left", 0);
}

void
Exchange::OnTimeUp()
{
  if (mDone) {
    return;
  }
  const bool late = mAttempt && !mAttempt->mStarted;
  DropConnection();
  EndAttempt(late ? AttemptOutcome::Broken : AttemptOutcome::Withdrawn);
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
Exchange::Cut(ErrorKind aKind)
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
Exchange::SetAside()
{
  // The rest of the answer is read and dropped, and the connection kept.
  mConnection->ReplaceHandlers(ConnectionPool::DiscardHandlers(
    mContext.mPool, mAttempt->mUpstream, mConnection));
  mConnection.reset();
}

bool
Exchange::CanGoOn() const
{
  return mPlan.Request().mRoute->mRetryMode == RetryMode::Resumable;
}

} // namespace trefoilgate
