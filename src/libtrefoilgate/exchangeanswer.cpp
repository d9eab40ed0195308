#include "exchange.h"

#include "bootclock.h"
#include "gatemetrics.h"
#include "looptimer.h"

#include <algorithm>

/** The upstream's answer and its way to the caller. */
namespace trefoilgate {

using namespace trefoilarch;

namespace {

/** An answer that is not a stream is buffered up to this size, so that the
 * request can still be retried if the answer breaks off. */
constexpr size_t kMaxBuffered = 65536;

/** An incomplete event of this size has no end. */
constexpr size_t kMaxEventBytes = 1048576;

/** Bytes of an answer's head, and unparsed ones, that are not counted as held.
 */
constexpr size_t kUncountedBytes = 16384;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kMinRedirectStatus = 300;
constexpr int kMinServerErrorStatus = 500;

constexpr Millis kWriterPollInterval{ 3 };

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
    mContext.mRouter.OnContention(*mAttempt, *load.mContention, now);
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
  mHeadBytes = 0;
  for (const auto& [name, value] : mAnswer->mHeaders) {
    mHeadBytes += name.size() + value.size();
  }
  if (mAnswer->mEndsWithConnection) {
    mContext.mWriters.OnUnmarkedAnswer(mAttempt->mService, now);
    FollowWriter();
  } else {
    mWriter.reset();
  }
}

void
Exchange::FollowWriter()
{
  if (!mWriter) {
    mWriter = mContext.mWriters.Follow(*mAttempt, mRequestSentAt);
  }
}

void
Exchange::OnData(const std::string& aData)
{
  const Millis now = BootNow();
  mContext.mRouter.OnBytesReceived(*mAttempt, now);
  MarkStarted(now);
  if (mFirstByteAt == Millis(0)) {
    mFirstByteAt = now;
  } else if (mLastByteAt != Millis(0)) {
    mLongestPause = std::max(mLongestPause, now - mLastByteAt);
    mContext.mRouter.OnPause(*mAttempt, now - mLastByteAt, now);
  }
  mLastByteAt = now;
  if (IsEventStream()) {
    ForwardData(mEvents.Add(aData));
    CountUnoffered();
    if (!mDone && mEvents.Remainder().size() > kMaxEventBytes) {
      DropConnection();
      OnBroken("an event without an end");
    }
    return;
  }
  mBuffered += aData;
  CountUnoffered();
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
  OfferBuffered();
  PauseIfCallerIsSlow();
}

void
Exchange::OfferBuffered()
{
  if (!mAnswerBegun) {
    BeginAnswer();
  }
  mCaller->WriteAnswer(mBuffered);
  mBuffered.clear();
  CountUnoffered();
}

void
Exchange::PauseIfCallerIsSlow()
{
  if (!MayDeliver()) {
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
           .mNoBody = HasNoBody(),
           .mEndsWithConnection = mAnswer->mEndsWithConnection };
}

bool
Exchange::IsEventStream() const
{
  return mPlan.Request().mRoute->mStream &&
         mAnswer->mStatus < kMinRedirectStatus;
}

void
Exchange::BeginAnswer()
{
  mAnswerBegun = true;
  mEndsCallerConnection = mAnswer->mEndsWithConnection;
  mPlan.OnAnswerBegun(BootNow());
  // A stream that may continue at another upstream has no known length.
  const bool mayContinue = CanResume() || !mAttempt->mBackup.empty();
  mCaller->BeginAnswer(MakeHead(mayContinue ? std::nullopt : mAnswer->mLength));
}

void
Exchange::OnEnd()
{
  mContext.mPool.Release(mAttempt->mUpstream, mConnection);
  mConnection.reset();
  if (mAnswer->mEndsWithConnection) {
    OnUnmarkedEnd();
  } else {
    FinishAnswer();
  }
}

void
Exchange::OnUnmarkedEnd()
{
  // The kernel of a crashed upstream closes its connections in the same way.
  mAttempt->mProvesHarmless = false;
  const Millis now = BootNow();
  const std::string reason = IncompleteReason();
  if (reason.empty()) {
    mContext.mWriters.Check(*mAttempt);
  }
  CheckForCrash(now);
  if (reason.empty()) {
    ResolveUnmarkedEnd(now);
  } else {
    BreakAttempt(reason);
  }
}

std::string
Exchange::IncompleteReason() const
{
  if (IsEventStream() && !mEvents.Remainder().empty()) {
    return "the connection ended inside an event";
  }
  if (IsEventStream() && !mAnswerBegun) {
    return "the connection ended before the first event";
  }
  if (mAnswerBegun && !mEndsCallerConnection) {
    return "the connection ended without the end of the answer";
  }
  return {};
}

void
Exchange::ResolveUnmarkedEnd(Millis aEndedAt)
{
  if (mContext.mRouter.HasEnded(*mAttempt) || mWriter->HasEnded()) {
    mContext.mMetrics.OnUnmarkedEnd("process_ended");
    BreakAttempt("the upstream's process has ended");
    return;
  }
  if (mWriter->IsProven(aEndedAt)) {
    mContext.mMetrics.OnUnmarkedEnd("complete");
    FinishAnswer();
    return;
  }
  if (mWriter->IsLost(BootNow())) {
    mContext.mMetrics.OnUnmarkedEnd("process_unknown");
    BreakAttempt("another process may have taken the upstream's place");
    return;
  }
  RunAfter(
    mHoldTimer, kWriterPollInterval, [self = shared_from_this(), aEndedAt] {
      if (!self->mDone && self->mAttempt) {
        self->ResolveUnmarkedEnd(aEndedAt);
      }
    });
}

void
Exchange::FinishAnswer()
{
  MarkStarted(BootNow());
  const int status = mAnswer->mStatus;
  if (status >= kMinRedirectStatus) {
    // Nothing was generated from the prompt.
    mAttempt->mFeatures.mSegments.clear();
  }
  EndAttempt(status < kMinServerErrorStatus ? AttemptOutcome::Good
                                            : AttemptOutcome::Failed);
  // An incomplete event at the end of an answer is forwarded as the upstream
  // sent it.
  mBuffered += mEvents.Remainder();
  if (mAnswerBegun) {
    mCaller->WriteAnswer(mBuffered);
    mCaller->EndAnswer();
  } else {
    const bool hasLength = !HasNoBody() && !mAnswer->mEndsWithConnection;
    const auto length =
      hasLength ? std::optional<uint64_t>(mBuffered.size()) : mAnswer->mLength;
    mCaller->Answer(MakeHead(length), mBuffered);
  }
  Close(status < kMinServerErrorStatus ? "served" : "upstream_failed", status);
}

void
Exchange::CountUnoffered()
{
  if (mDone) {
    return;
  }
  const size_t unparsed = mConnection ? mConnection->UnparsedBytes() : 0;
  const size_t uncounted = unparsed + mHeadBytes;
  mCaller->SetUnoffered(mBuffered.size() + mEvents.Remainder().size() +
                        (uncounted > kUncountedBytes ? uncounted : 0));
}

bool
Exchange::MayDeliver()
{
  CountUnoffered();
  if (mDone || mCaller->HasRoom()) {
    return true;
  }
  if (!mBuffered.empty()) {
    OfferBuffered();
  }
  mPaused = true;
  mCaller->AwaitRoom();
  return false;
}

void
Exchange::OnRoom()
{
  if (mPaused && mConnection) {
    mPaused = false;
    // The pause was the caller's, not the upstream's.
    mLastByteAt = Millis(0);
    mConnection->Resume();
  }
}

void
Exchange::OnCallerCut(CutReason aReason)
{
  if (mDone) {
    return;
  }
  mCutReason = Name(aReason);
  DropConnection();
  EndAttempt(AttemptOutcome::Withdrawn);
  Close(Name(ErrorKind::AnswerCut).data(), 0);
}

} // namespace trefoilgate
