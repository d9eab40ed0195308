#include "claimgate.h"

#include "answerassembler.h"
#include "claimservice.h"
#include "claimtracker.h"
#include "refusalreply.h"

#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::HttpReply;

constexpr Millis kRetryAfter{ 1000 };
constexpr int kMinErrorStatus = 400;

Refusal
RefusalFor(ClaimOutcome aOutcome)
{
  switch (aOutcome) {
    case ClaimOutcome::InProgress:
      return Refusal{ .mKind = ErrorKind::DuplicateInProgress,
                      .mRan = Ran::Maybe,
                      .mRetryAfter = kRetryAfter,
                      .mMessage = "the first request of this key is at work" };
    case ClaimOutcome::Finished:
      return Refusal{ .mKind = ErrorKind::DuplicateFinished,
                      .mRan = Ran::Maybe,
                      .mMessage = "the first request of this key has been "
                                  "answered; its answer is not kept" };
    case ClaimOutcome::MaybeRan:
      return Refusal{ .mKind = ErrorKind::OutcomeUnknown,
                      .mRan = Ran::Maybe,
                      .mMessage = "an earlier request of this key may have "
                                  "run" };
    case ClaimOutcome::OtherIntent:
      return Refusal{ .mKind = ErrorKind::InvalidRequest,
                      .mMessage = "Idempotency-Key: belongs to another "
                                  "request" };
    case ClaimOutcome::Run:
    case ClaimOutcome::Unsettled:
      break;
  }
  return Refusal{ .mKind = ErrorKind::ClaimUnsettled,
                  .mRetryAfter = kRetryAfter,
                  .mMessage = "the platform did not settle the key in time" };
}

/** Returns the first response in the format this caller requested. */
HttpReply
ReplayedReply(const CachedAnswer& aAnswer,
              const CallerRequest& aRequest,
              const RequestId& aId)
{
  HttpReply reply;
  reply.mStatus = aAnswer.mStatus;
  reply.mHeaders = { { "Content-Type", aAnswer.mContentType },
                     { kRequestIdHeader, aId.Text() } };
  reply.mBody = aAnswer.mBody;
  const bool tokenStream = aRequest.mCall.mTokenStream;
  if (tokenStream && !aRequest.mStreamed && aAnswer.mStatus < kMinErrorStatus) {
    AnswerAssembler assembler;
    assembler.Add(aAnswer.mBody);
    reply.mBody = assembler.Json();
    reply.mHeaders.front().second = "application/json";
  }
  return reply;
}

} // namespace

ClaimGate::ClaimGate(ClaimService& aClaims)
  : mClaims(aClaims)
{
}

Result<ClaimAdmission>
ClaimGate::Admit(const CallerRequest& aRequest,
                 bool aIdempotent,
                 const RequestId& aId) const
{
  if (aIdempotent || aRequest.mIdempotencyKey.empty()) {
    return ClaimAdmission{};
  }
  const Call& call = aRequest.mCall;
  const ClaimDecided claim =
    mClaims.Claim(aId,
                  aRequest.mClaims.mWorkspace,
                  aRequest.mIdempotencyKey,
                  call.mMethod + " " + aRequest.mClaims.mService + call.mPath +
                    "\n" + call.mBody);
  if (claim.mOutcome == ClaimOutcome::Run) {
    return ClaimAdmission{ .mClaimTracker =
                             std::make_shared<ClaimTracker>(mClaims, aId) };
  }
  if (claim.mOutcome == ClaimOutcome::Finished && claim.mAnswer) {
    return ClaimAdmission{ .mRepeat =
                             ReplayedReply(*claim.mAnswer, aRequest, aId) };
  }
  return Fail(RefusalFor(claim.mOutcome));
}

} // namespace trefoilarch
