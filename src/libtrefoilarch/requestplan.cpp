#include "requestplan.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int kMinServerError = 500;

/** Retry delay after a rejection by a full upstream: a few of its calls. */
constexpr Millis kFullRetryAfter{ 200 };

/** Retry delay if no upstream is known: the usual lag of a list. */
constexpr Millis kNoUpstreamRetryAfter{ 500 };

/** Unreachable upstreams that are tried before a rejection. */
constexpr uint32_t kMaxUnreachable = 4;

/** A request is held until the outcome of an identical request is known.
 * That is checked at this interval, and awaited for at most kMaxHold. */
constexpr Millis kHoldInterval{ 30 };
constexpr Millis kMaxHold{ 2000 };

/** Whether an upstream that broke a connection has crashed is known within a
 * round trip. The next upstream is chosen only then, as this request may be the
 * cause. */
constexpr Millis kSuspicionPollInterval{ 3 };
constexpr Millis kMaxSuspicionHold{ 30 };

/** A request is held for at most the remaining time divided by this. */
constexpr int64_t kHoldDivisor = 2;

/** Retry delay if the outcome of an identical request is not known in time. */
constexpr Millis kHoldRetryAfter{ 1000 };

/** Interval at which a request that waits for engine memory is decided again:
 * an answer may end earlier than expected. A decision takes about a
 * millisecond with 900 upstreams. */
constexpr Millis kMemoryPollInterval{ 50 };
constexpr Millis kMinHold{ 1 };

/** Interval at which the reply to a permit request is polled. */
constexpr Millis kPermitPollInterval{ 2 };

/** Upstreams with exhausted rate limits that are tried before a rejection. */
constexpr uint32_t kMaxPermitRequests = 3;

/** Interval at which the replies of entries that may know where a stream began
 * are polled. */
constexpr Millis kOriginPollInterval{ 3 };

/** They are asked again after this time: a query, a reply or the record itself
 * may be lost or late. */
constexpr Millis kOriginQueryInterval{ 50 };
constexpr Millis kMaxOriginWait{ 250 };

/** Retry delay if it is not known where a stream began: another entry may know,
 * and a caller retries at any. */
constexpr Millis kOriginRetryAfter{ 200 };

/** Retry delay during a planned stop: another entry serves the request. */
constexpr Millis kStopRetryAfter{ 100 };

/** Less time is not enough for an attempt. */
constexpr Millis kMinAttemptTime{ 5 };

} // namespace

RequestPlan::RequestPlan(DirectRouter& aRouter, BoundRequest aRequest)
  : mRouter(aRouter)
  , mRequest(std::move(aRequest))
{
}

PlanStep
RequestPlan::Begin(Millis aNow)
{
  mRequest.mInterruptedAt = mRequest.mArrivedAt;
  return Send(aNow);
}

bool
RequestPlan::MaySend(Millis aNow) const
{
  return mRouter.TakesWork(mCurrent, aNow) &&
         mRouter.StillAllowed(mRequest, aNow) &&
         (mIsProbe || !mRouter.IsQuarantined(mRequest));
}

PlanStep
RequestPlan::OnUnreachable(Millis aNow)
{
  mUnreachable++;
  if (!mCurrent.mCopySourceAddress.empty()) {
    // The copy is unreachable; any other upstream would be one more attempt.
    return MayRepeat() ? Retry(aNow, ErrorKind::UpstreamUnreachable)
                       : PlanStep(AbortAnswer{});
  }
  mAttempts--;
  if (mUnreachable >= kMaxUnreachable) {
    return Refuse(ErrorKind::UpstreamUnreachable, kFullRetryAfter, aNow);
  }
  return Send(aNow);
}

PlanStep
RequestPlan::OnNotRun(Millis aNow)
{
  mMayHaveRun = mMayHaveRunBefore;
  if (mAnswerBegun && !MayRepeat()) {
    return AbortAnswer{};
  }
  return Retry(aNow, ErrorKind::Shed);
}

PlanStep
RequestPlan::OnHead(int aStatus, Millis aNow)
{
  if (aStatus < kMinServerError || mAnswerBegun || !MayRepeat() ||
      !AttemptsLeft()) {
    return ForwardAnswer{};
  }
  // The caller gets this failure instead of waiting for a permit.
  mPermitRequests = kMaxPermitRequests;
  const PlanStep retry = Retry(aNow, ErrorKind::UpstreamFailed);
  return std::holds_alternative<SendRequest>(retry) ? retry
                                                    : PlanStep(ForwardAnswer{});
}

PlanStep
RequestPlan::OnBroken(bool aCanContinue, Millis aNow)
{
  if (mAnswerBegun) {
    mRequest.mInterruptedAt = aNow;
    mVersionsSoughtSince.reset();
    if (auto step = ContinueAtBackup(aNow)) {
      return std::move(*step);
    }
  }
  if (mAnswerBegun && !aCanContinue) {
    return AbortAnswer{};
  }
  if (MayRepeat()) {
    return Retry(aNow, ErrorKind::UpstreamFailed);
  }
  return Refuse(ErrorKind::UpstreamFailed, Millis(0), aNow);
}

PlanStep
RequestPlan::OnTimeUp(Millis aNow)
{
  return Refuse(ErrorKind::DeadlineExceeded, Millis(0), aNow);
}

PlanStep
RequestPlan::Send(Millis aNow)
{
  if (mRequest.mDeadline - aNow < kMinAttemptTime) {
    return Refuse(ErrorKind::DeadlineExceeded, Millis(0), aNow);
  }
  if (!mRouter.StillAllowed(mRequest, aNow)) {
    return Refuse(ErrorKind::PolicyStale, kNoUpstreamRetryAfter, aNow);
  }
  if (!EndsBeforeStop(aNow)) {
    return Refuse(ErrorKind::ShuttingDown, kStopRetryAfter, aNow);
  }
  if (auto step = FindOrigin(aNow)) {
    return std::move(*step);
  }
  if (auto step = AwaitVersions(aNow)) {
    return std::move(*step);
  }
  if (auto step = HoldIfSuspected(aNow)) {
    return std::move(*step);
  }
  mPermit.mMayRequest = mPermitRequests < kMaxPermitRequests;
  std::optional<PlacedAttempt> attempt =
    mRouter.Place(mRequest, mTried, mPermit, aNow);
  if (!attempt) {
    return OnNotPlaced(aNow);
  }
  mPermit = {};
  mTried.insert(attempt->mUpstream);
  mAttempts++;
  mMayHaveRunBefore = mMayHaveRun;
  mCurrent = *attempt;
  return SendRequest{ .mAttempt = std::move(*attempt) };
}

std::optional<PlanStep>
RequestPlan::FindOrigin(Millis aNow)
{
  if (!mRequest.mResumes || mRequest.mOrigin) {
    return std::nullopt;
  }
  if (const auto origin = mRouter.FindStreamOrigin(mRequest, aNow)) {
    if (!mRequest.mRoute->LeadsTo(origin->mService)) {
      return Refuse(
        ErrorKind::StreamVersionUnavailable, kNoUpstreamRetryAfter, aNow);
    }
    mRequest.mOrigin = origin;
    mRequest.mService = origin->mService;
    return std::nullopt;
  }
  const Millis since = mOriginSoughtSince.value_or(aNow);
  if (aNow - since >= kMaxOriginWait) {
    return Refuse(ErrorKind::StreamVersionUnknown, kOriginRetryAfter, aNow);
  }
  if (!mOriginSoughtSince || aNow - mOriginSoughtAt >= kOriginQueryInterval) {
    mRouter.RequestStreamOrigin(mRequest);
    if (mOriginSoughtSince) {
      mRouter.RequestListConfirmation(mRequest);
    }
    mOriginSoughtSince = since;
    mOriginSoughtAt = aNow;
  }
  return HoldRequest{ .mDelay = kOriginPollInterval };
}

std::optional<PlanStep>
RequestPlan::AwaitVersions(Millis aNow)
{
  if (mRouter.Continuation(mRequest) != StreamContinuation::Unknown) {
    return std::nullopt;
  }
  if (!mVersionsSoughtSince) {
    mVersionsSoughtSince = aNow;
    mRouter.RequestListConfirmation(mRequest);
  }
  if (aNow - *mVersionsSoughtSince >= kMaxOriginWait) {
    return Refuse(ErrorKind::StreamVersionUnknown, kOriginRetryAfter, aNow);
  }
  return HoldRequest{ .mDelay = kOriginPollInterval };
}

void
RequestPlan::OnAnswerBegun(Millis aNow)
{
  mAnswerBegun = true;
  if (mRequest.mRoute->mStream) {
    mRouter.OnStreamBegun(mRequest, mCurrent, aNow);
  }
}

PlanStep
RequestPlan::OnNotPlaced(Millis aNow)
{
  if (mRouter.Continuation(mRequest) == StreamContinuation::Impossible) {
    return Refuse(
      ErrorKind::StreamVersionUnavailable, kNoUpstreamRetryAfter, aNow);
  }
  if (!mPermit.mUpstream.empty()) {
    const bool otherUpstream =
      std::exchange(mPermitUpstream, mPermit.mUpstream) != mPermit.mUpstream;
    mPermitRequests += otherUpstream ? 1 : 0;
    return HoldRequest{ .mDelay = kPermitPollInterval };
  }
  if (mPermit.mMemory) {
    if (auto step = OnMemoryVerdict(*mPermit.mMemory, aNow)) {
      return std::move(*step);
    }
  }
  const auto pauseEndsIn = mRouter.PauseEndsIn(mRequest, aNow);
  if (mPermit.mCapacityIn || pauseEndsIn) {
    // An upstream with a rate limit may be in a pause that ends later.
    const Millis returnIn = std::max(mPermit.mCapacityIn.value_or(Millis(0)),
                                     pauseEndsIn.value_or(Millis(0)));
    return Refuse(ErrorKind::Shed, returnIn, aNow);
  }
  return Refuse(ErrorKind::NoEligibleUpstream, kNoUpstreamRetryAfter, aNow);
}

std::optional<PlanStep>
RequestPlan::OnMemoryVerdict(const MemoryVerdict& aVerdict, Millis aNow)
{
  switch (aVerdict.mKind) {
    case MemoryVerdict::Kind::Wait:
      return HoldRequest{ .mDelay = std::clamp(aVerdict.mUntil - aNow,
                                               kMinHold,
                                               kMemoryPollInterval) };
    case MemoryVerdict::Kind::Return:
      return Refuse(ErrorKind::Shed, aVerdict.mRetryAfter, aNow);
    case MemoryVerdict::Kind::TooLarge:
      return Refuse(ErrorKind::NoEligibleUpstream, kNoUpstreamRetryAfter, aNow);
    case MemoryVerdict::Kind::Fits:
    case MemoryVerdict::Kind::Queue:
      break;
  }
  return std::nullopt;
}

std::optional<PlanStep>
RequestPlan::HoldIfSuspected(Millis aNow)
{
  const Millis since = mHeldSince.value_or(aNow);
  if (aNow - since < kMaxSuspicionHold && mRouter.IsCrashSuspected(mCurrent)) {
    mHeldSince = since;
    return HoldRequest{ .mDelay = kSuspicionPollInterval };
  }
  switch (mRouter.Admit(mRequest, aNow - since, aNow)) {
    case QuarantineVerdict::Run:
      mHeldSince.reset();
      mIsProbe = mRouter.IsQuarantined(mRequest);
      return std::nullopt;
    case QuarantineVerdict::Refuse:
      return Refuse(
        ErrorKind::Quarantined,
        mRouter.CrashQuarantine().RetryDelay(mRequest.mFeatures, aNow),
        aNow);
    case QuarantineVerdict::Wait:
      break;
  }
  const Millis maxHold =
    std::min(kMaxHold, (mRequest.mDeadline - since) / kHoldDivisor);
  if (aNow - since >= maxHold) {
    return Refuse(ErrorKind::Quarantined, kHoldRetryAfter, aNow);
  }
  mHeldSince = since;
  return HoldRequest{ .mDelay = kHoldInterval };
}

PlanStep
RequestPlan::Retry(Millis aNow, ErrorKind aFallbackKind)
{
  if (const auto pauseEndsIn = mRouter.PauseEndsIn(mRequest, aNow)) {
    return Refuse(aFallbackKind, *pauseEndsIn, aNow);
  }
  if (!AttemptsLeft() || !mRouter.TakeRetry(mRequest.mService)) {
    return Refuse(aFallbackKind, kFullRetryAfter, aNow);
  }
  PlanStep next = Send(aNow);
  if (std::holds_alternative<SendRequest>(next) ||
      std::holds_alternative<HoldRequest>(next)) {
    return next;
  }
  return Refuse(aFallbackKind, kFullRetryAfter, aNow);
}

std::optional<PlanStep>
RequestPlan::ContinueAtBackup(Millis aNow)
{
  if (mCurrent.mBackup.empty() || mRequest.mDeadline - aNow < kMinAttemptTime ||
      !mRouter.StillAllowed(mRequest, aNow) || !EndsBeforeStop(aNow) ||
      mRouter.Admit(mRequest, Millis(0), aNow) != QuarantineVerdict::Run ||
      !mRouter.TakeRetry(mRequest.mService)) {
    return std::nullopt;
  }
  auto attempt = mRouter.PlaceAtBackup(mRequest, mCurrent, aNow);
  if (!attempt) {
    return std::nullopt;
  }
  mTried.insert(attempt->mUpstream);
  mMayHaveRunBefore = mMayHaveRun;
  mCurrent = *attempt;
  return SendRequest{ .mAttempt = std::move(*attempt) };
}

bool
RequestPlan::EndsBeforeStop(Millis aNow) const
{
  const Millis elapsed = mAnswerBegun ? aNow - mRequest.mArrivedAt : Millis(0);
  return mRouter.EndsBeforeStop(mRequest, elapsed, aNow);
}

bool
RequestPlan::MayRepeat() const
{
  return mRequest.mRoute->mRetryMode != RetryMode::AtMostOnce;
}

bool
RequestPlan::AttemptsLeft() const
{
  return mAttempts < mRequest.mRoute->mMaxAttempts;
}

PlanStep
RequestPlan::Refuse(ErrorKind aKind, Millis aRetryAfter, Millis aNow) const
{
  if (mAnswerBegun) {
    return AbortAnswer{ .mKind = aKind };
  }
  Refusal refusal{ .mKind = aKind, .mRetryAfter = aRetryAfter };
  if (mMayHaveRun) {
    refusal.mRan = Ran::Maybe;
    refusal.mRetryAfter = Millis(0);
    if (aKind != ErrorKind::DeadlineExceeded) {
      refusal.mKind = ErrorKind::OutcomeUnknown;
    }
  } else if (aKind == ErrorKind::DeadlineExceeded) {
    refusal.mKind = ErrorKind::DeadlineUnmeetable;
    refusal.mRetryAfter = std::max(aRetryAfter, kFullRetryAfter);
  }
  if (refusal.mRan == Ran::Maybe && mRequest.mDeadline <= aNow) {
    refusal.mKind = ErrorKind::DeadlineExceeded;
  }
  return AnswerRefusal{ std::move(refusal) };
}

} // namespace trefoilarch
