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
  if (!mCurrent.mCopyOf.empty()) {
    // The copy is out of reach: another upstream would be one more attempt.
    return MayRepeat() ? Again(aNow, ErrorKind::UpstreamUnreachable)
                       : PlanStep(CutAnswer{});
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
    return CutAnswer{};
  }
  return Again(aNow, ErrorKind::Shed);
}

PlanStep
RequestPlan::OnHead(int aStatus, Millis aNow)
{
  if (aStatus < kLeastServerError || mAnswerBegun || !MayRepeat() ||
      !AttemptsLeft()) {
    return PassOn{};
  }
  const PlanStep again = Again(aNow, ErrorKind::UpstreamFailed);
  return std::holds_alternative<SendRequest>(again) ? again
                                                    : PlanStep(PassOn{});
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
    return CutAnswer{};
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
  if (mRequest.mEnd - aNow < kLeastTime) {
    return Refuse(ErrorKind::DeadlineExceeded, Millis(0), aNow);
  }
  if (!mRouter.StillAllowed(mRequest, aNow)) {
    return Refuse(ErrorKind::PolicyStale, kNoneRetryAfter, aNow);
  }
  std::optional<PlacedAttempt> attempt = mRouter.Place(mRequest, mTried, aNow);
  if (!attempt) {
    return Refuse(ErrorKind::NoEligibleUpstream, kNoneRetryAfter, aNow);
  }
  mTried.insert(attempt->mUpstream);
  mAttempts++;
  mMayHaveRunBefore = mMayHaveRun;
  mCurrent = *attempt;
  return SendRequest{ .mAttempt = std::move(*attempt) };
}

PlanStep
RequestPlan::Again(Millis aNow, ErrorKind aOtherwise)
{
  if (!AttemptsLeft() || !mRouter.TakeRetry(mRequest.mService)) {
    return Refuse(aOtherwise, kFullRetryAfter, aNow);
  }
  PlanStep next = Send(aNow);
  if (std::holds_alternative<SendRequest>(next)) {
    return next;
  }
  return Refuse(aOtherwise, kFullRetryAfter, aNow);
}

std::optional<PlanStep>
RequestPlan::GoOnAtBackup(Millis aNow)
{
  if (mCurrent.mBackup.empty() || mRequest.mEnd - aNow < kLeastTime ||
      !mRouter.StillAllowed(mRequest, aNow) ||
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
  return mRequest.mRoute->mRepeat != RepeatRule::AtMostOnce;
}

bool
RequestPlan::AttemptsLeft() const
{
  return mAttempts < mRequest.mRoute->mMostAttempts;
}

PlanStep
RequestPlan::Refuse(ErrorKind aKind, Millis aRetryAfter, Millis aNow) const
{
  if (mAnswerBegun) {
    return CutAnswer{ .mKind = aKind };
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
  if (refusal.mRan == Ran::Maybe && mRequest.mEnd <= aNow) {
    refusal.mKind = ErrorKind::DeadlineExceeded;
  }
  return AnswerRefusal{ std::move(refusal) };
}

} // namespace trefoilarch
