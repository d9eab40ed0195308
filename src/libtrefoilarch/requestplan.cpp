#include "requestplan.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int kLeastServerError = 500;

/** When to come back after a refusal by a full upstream: a few of its calls. */
constexpr Millis kFullRetryAfter{ 200 };

/** When to come back where no upstream is known: a list's usual lag. */
constexpr Millis kNoneRetryAfter{ 500 };

/** Upstreams that are tried in vain before the request is refused. */
constexpr uint32_t kMostUnreachable = 4;

/** The fate of a like request is known soon, or not in time. */
constexpr Millis kHoldPause{ 30 };
constexpr Millis kLongestHold{ 2000 };

/** Whether the upstream that broke off has crashed is known within a round
 * trip: before the next one is asked, as this request may be the cause. */
constexpr Millis kDoubtPause{ 3 };
constexpr Millis kMostDoubt{ 30 };

/** Of the time that is left, what a request may be held back for. */
constexpr int64_t kHoldPart = 2;

/** When to come back where a like request's fate was not known in time. */
constexpr Millis kHeldRetryAfter{ 1000 };

/** Until the answer to an ask for a permit is looked for again. */
constexpr Millis kPermitPause{ 2 };

/** Upstreams whose limits leave no room, one after the other, before the
 * request is refused. */
constexpr uint32_t kMostPermitAsks = 3;

/** Less time than this is not worth an attempt. */
constexpr Millis kLeastTime{ 5 };

} // namespace

RequestPlan::RequestPlan(DirectRouter& aRouter, BoundRequest aRequest)
  : mRouter(aRouter)
  , mRequest(std::move(aRequest))
{
}

PlanStep
RequestPlan::Begin(Millis aNow)
{
  return Send(aNow);
}

bool
RequestPlan::MaySend(Millis aNow) const
{
  return mRouter.TakesWork(mCurrent) && mRouter.StillAllowed(mRequest, aNow);
}

PlanStep
RequestPlan::OnUnreachable(Millis aNow)
{
  mUnreachable++;
  if (!mCurrent.mCopySourceAddress.empty()) {
    // The copy is out of reach: another upstream would be one more attempt.
    return MayRepeat() ? Again(aNow, ErrorKind::UpstreamUnreachable)
                       : PlanStep(AbortAnswer{});
  }
  mAttempts--;
  if (mUnreachable >= kMostUnreachable) {
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
  return Again(aNow, ErrorKind::Shed);
}

PlanStep
RequestPlan::OnHead(int aStatus, Millis aNow)
{
  if (aStatus < kLeastServerError || mAnswerBegun || !MayRepeat() ||
      !AttemptsLeft()) {
    return ForwardAnswer{};
  }
  // The caller gets this failure, rather than wait for a permit.
  mPermitAsks = kMostPermitAsks;
  const PlanStep again = Again(aNow, ErrorKind::UpstreamFailed);
  return std::holds_alternative<SendRequest>(again) ? again
                                                    : PlanStep(ForwardAnswer{});
}

PlanStep
RequestPlan::OnBroken(bool aCanGoOn, Millis aNow)
{
  if (mAnswerBegun) {
    if (auto goesOn = GoOnAtBackup(aNow)) {
      return std::move(*goesOn);
    }
  }
  if (mAnswerBegun && !aCanGoOn) {
    return AbortAnswer{};
  }
  if (MayRepeat()) {
    return Again(aNow, ErrorKind::UpstreamFailed);
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
  if (mRequest.mDeadline - aNow < kLeastTime) {
    return Refuse(ErrorKind::DeadlineExceeded, Millis(0), aNow);
  }
  if (!mRouter.StillAllowed(mRequest, aNow)) {
    return Refuse(ErrorKind::PolicyStale, kNoneRetryAfter, aNow);
  }
  if (auto holdBack = HoldBack(aNow)) {
    return std::move(*holdBack);
  }
  mPermit.mMayRequest = mPermitAsks < kMostPermitAsks;
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

PlanStep
RequestPlan::OnNotPlaced(Millis aNow)
{
  if (!mPermit.mUpstream.empty()) {
    const bool another =
      std::exchange(mAskedAt, mPermit.mUpstream) != mPermit.mUpstream;
    mPermitAsks += another ? 1 : 0;
    return HoldRequest{ .mDelay = kPermitPause };
  }
  if (mPermit.mCapacityIn) {
    return Refuse(ErrorKind::Shed, *mPermit.mCapacityIn, aNow);
  }
  return Refuse(ErrorKind::NoEligibleUpstream, kNoneRetryAfter, aNow);
}

std::optional<PlanStep>
RequestPlan::HoldBack(Millis aNow)
{
  const Millis since = mHeldSince.value_or(aNow);
  if (aNow - since < kMostDoubt && mRouter.IsCrashSuspected(mCurrent)) {
    mHeldSince = since;
    return HoldRequest{ .mDelay = kDoubtPause };
  }
  switch (mRouter.Admit(mRequest, aNow - since, aNow)) {
    case QuarantineVerdict::Run:
      mHeldSince.reset();
      return std::nullopt;
    case QuarantineVerdict::Refuse:
      // An hour without it lets it go; before that no return can help.
      return Refuse(
        ErrorKind::Quarantined, mRouter.CrashQuarantine().IdleTimeout(), aNow);
    case QuarantineVerdict::Wait:
      break;
  }
  const Millis most =
    std::min(kLongestHold, (mRequest.mDeadline - since) / kHoldPart);
  if (aNow - since >= most) {
    return Refuse(ErrorKind::Quarantined, kHeldRetryAfter, aNow);
  }
  mHeldSince = since;
  return HoldRequest{ .mDelay = kHoldPause };
}

PlanStep
RequestPlan::Again(Millis aNow, ErrorKind aOtherwise)
{
  if (!AttemptsLeft() || !mRouter.TakeRetry(mRequest.mService)) {
    return Refuse(aOtherwise, kFullRetryAfter, aNow);
  }
  PlanStep next = Send(aNow);
  if (std::holds_alternative<SendRequest>(next) ||
      std::holds_alternative<HoldRequest>(next)) {
    return next;
  }
  return Refuse(aOtherwise, kFullRetryAfter, aNow);
}

std::optional<PlanStep>
RequestPlan::GoOnAtBackup(Millis aNow)
{
  if (mCurrent.mBackup.empty() || mRequest.mDeadline - aNow < kLeastTime ||
      !mRouter.StillAllowed(mRequest, aNow) ||
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
