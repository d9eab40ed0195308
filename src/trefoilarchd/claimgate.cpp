#include "claimgate.h"

#include "answerassembler.h"
#include "claimhold.h"
#include "claimservice.h"
#include "refusalreply.h"

#include <utility>

namespace trefoilarch {

namespace {

using trefoilio::HttpReply;

constexpr Millis kComeBackSoon{ 1000 };
constexpr int kFirstError = 400;

Refusal
RefusalFor(ClaimOutcome aEnd)
{
  switch (aEnd) {
    case ClaimOutcome::InProgress:
      return Refusal{ .mKind = ErrorKind::DuplicateInProgress,
                      .mRan = Ran::Maybe,
                      .mRetryAfter = kComeBackSoon,
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
                  .mRetryAfter = kComeBackSoon,
                  .mMessage = "the platform did not settle the key in time" };
}

/** The first answer, in the form that this caller asked for. */
HttpReply
Replayed(const CachedAnswer& aAnswer,
         const CallerRequest& aRequest,
         const RequestId& aId)
{
  HttpReply reply;
  reply.mStatus = aAnswer.mStatus;
  reply.mHeaders = { { "Content-Type", aAnswer.mContentType },
                     { kRequestIdHeader, aId.Text() } };
  reply.mBody = aAnswer.mBody;
  const bool tokens = aRequest.mCall.mTokenStream;
  if (tokens && !aRequest.mStreamed && aAnswer.mStatus < kFirstError) {
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

Result<ClaimPass>
ClaimGate::Pass(const CallerRequest& aRequest,
                bool aIdempotent,
                const RequestId& aId) const
{
  if (aIdempotent || aRequest.mIdempotencyKey.empty()) {
    return ClaimPass{};
  }
  const Call& call = aRequest.mCall;
  const ClaimDecided claim =
    mClaims.Claim(aId,
                  aRequest.mClaims.mWorkspace,
                  aRequest.mIdempotencyKey,
                  call.mMethod + " " + aRequest.mClaims.mService + call.mPath +
                    "\n" + call.mBody);
  if (claim.mOutcome == ClaimOutcome::Run) {
    return ClaimPass{ .mHold = std::make_shared<ClaimHold>(mClaims, aId) };
  }
  if (claim.mOutcome == ClaimOutcome::Finished && claim.mAnswer) {
    return ClaimPass{ .mRepeat = Replayed(*claim.mAnswer, aRequest, aId) };
  }
  return Fail(RefusalFor(claim.mOutcome));
}

} // namespace trefoilarch
