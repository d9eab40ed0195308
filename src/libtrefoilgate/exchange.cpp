#include "exchange.h"

#include "bootclock.h"
#include "decisionlog.h"
#include "gatemetrics.h"
#include "looptimer.h"
#include "refusalanswer.h"

#include <chrono>

namespace trefoilgate {

using namespace trefoilarch;

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
  mCaller->OnRoom([self] { self->OnRoom(); });
  mCaller->OnCut([self](CutReason aReason) { self->OnCallerCut(aReason); });
  mCaller->SetRequest(mId, mPlan.Request().mPriority);
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
  mWriter.reset();
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
  if (!mContext.mBuffers.Budget()->MaySend(mAttempt->mUpstream, BodyBytes())) {
    mContext.mPool.Release(mAttempt->mUpstream, aConnection);
    LogAttempt("not_sent", "bodies to the upstream are not yet written");
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
  mRequestSentAt = now;
  if (mContext.mWriters.ExpectsUnmarked(mAttempt->mService, now)) {
    FollowWriter();
  }
  mPlan.OnSending();
  mConnection->Send(MakeCall(mPlan.Request().mDeadline - now), MakeHandlers());
}

OutgoingCall
Exchange::MakeCall(Millis aTimeLeft)
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
                       .mTransfer = MakeTransfer(),
                       .mNoBody = mRequest.mMethod == "HEAD" };
}

std::shared_ptr<BodyTransfer>
Exchange::MakeTransfer()
{
  if (BodyBytes() == 0) {
    return nullptr;
  }
  mTransferId = mContext.mBuffers.NextId();
  return std::make_shared<BodyTransfer>(
    mContext.mBuffers.Budget(), mTransferId, mAttempt->mUpstream, BodyBytes());
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
    .mMayDeliver = [self] { return self->MayDeliver(); },
    .mOnHead =
      [self](UpstreamAnswer aAnswer) { self->OnHead(std::move(aAnswer)); },
    .mOnData = [self](const std::string& aData) { self->OnData(aData); },
    .mOnEnd = [self] { self->OnEnd(); },
    .mOnBroken = [self](const std::string& aReason) { self->OnBroken(aReason); }
  };
}

void
Exchange::CheckForCrash(Millis aNow)
{
  if (mContext.mRouter.OnConnectionLost(*mAttempt, aNow)) {
    mContext.mPool.CheckListening(mAttempt->mUpstream, mAttempt->mAddress);
  }
}

void
Exchange::OnBodyStalled()
{
  if (mDone || !mConnection) {
    return;
  }
  DropConnection();
  OnBroken("the body was not read within the stall time-out");
}

void
Exchange::OnBroken(const std::string& aReason)
{
  CheckForCrash(BootNow());
  BreakAttempt(aReason);
}

void
Exchange::BreakAttempt(const std::string& aReason)
{
  LogAttempt("broken", aReason);
  mConnection.reset();
  EndAttempt(AttemptOutcome::Broken);
  mBuffered.clear();
  const bool canResume = CanResume();
  PlanStep step = mPlan.OnBroken(canResume, BootNow());
  if (std::holds_alternative<SendRequest>(step) ||
      std::holds_alternative<HoldRequest>(step)) {
    mEvents.BeginNextRun();
  }
  CountUnoffered();
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
