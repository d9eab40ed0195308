#include "answerchecker.h"

#include "requestbuilder.h"

#include "common/servicetext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilload {

using nlohmann::json;
using trefoilio::CallEnd;

namespace {

constexpr size_t kMaxBodyBytes = 16777216;

standin::CompletionText
BuildExpected(const TraceRequest& aRequest, const trefoilio::HttpRequest& aSent)
{
  const bool chat = aRequest.mService.empty();
  const json body = chat ? json::parse(aSent.mBody) : json::object();
  return standin::CompletionText(standin::AnswerTo(body), aRequest.mModel);
}

} // namespace

std::string
Name(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Open:
      return "open";
    case CallOutcome::Complete:
      return "whole";
    case CallOutcome::Refused:
      return "refused";
    case CallOutcome::Failed:
      return "failed";
    case CallOutcome::Wrong:
      return "wrong";
    case CallOutcome::Unanswered:
      return "unanswered";
  }
  return "";
}

AnswerChecker::AnswerChecker(const TraceRequest& aRequest,
                             const trefoilio::HttpRequest& aSent)
  : mRequest(aRequest)
  , mSentRequest(aSent)
  , mExpected(BuildExpected(aRequest, aSent))
  , mStreamedAnswer(mExpected)
{
}

bool
AnswerChecker::IsStream() const
{
  return mRequest.mStream && mRecord.mStatus == 200;
}

void
AnswerChecker::OnHead(int aStatus, const trefoilio::HttpHeaders& aHeaders)
{
  mRecord.mStatus = aStatus;
  mRecord.mRequestId =
    std::string(trefoilio::FindHeader(aHeaders, "X-Trefoilarch-Request-Id"));
}

void
AnswerChecker::OnData(const std::string& aData, int64_t aNow)
{
  if (!IsStream()) {
    // Longer than any expected body.
    if (mBody.size() <= kMaxBodyBytes) {
      mBody += aData;
    }
    return;
  }
  if (mStreamedAnswer.Feed(aData) == 0) {
    return;
  }
  if (mRecord.mFirst == 0) {
    mRecord.mFirst = aNow;
  } else {
    mRecord.mMaxGap = std::max(mRecord.mMaxGap, aNow - mLastTokenAt);
  }
  mLastTokenAt = aNow;
}

void
AnswerChecker::OnEnd(CallEnd aEnd, int64_t aNow)
{
  mRecord.mEnded = aNow;
  mRecord.mFirst = mRecord.mFirst == 0 ? aNow : mRecord.mFirst;
  mRecord.mOutcome = Evaluate(aEnd == CallEnd::Complete);
}

CallOutcome
AnswerChecker::Evaluate(bool aComplete)
{
  if (mRecord.mStatus == 0) {
    return CallOutcome::Unanswered;
  }
  if (IsStream()) {
    return EvaluateStream(aComplete);
  }
  if (!aComplete) {
    return EvaluateTruncatedBody();
  }
  if (mRecord.mStatus != 200) {
    return EvaluateError();
  }
  mRecord.mTokens = mRequest.mService.empty() ? mExpected.Tokens() : 1;
  return MatchesExpectedBody() ? CallOutcome::Complete : CallOutcome::Wrong;
}

CallOutcome
AnswerChecker::EvaluateStream(bool aComplete)
{
  mRecord.mTokens = mStreamedAnswer.Tokens();
  mRecord.mKind = mStreamedAnswer.ErrorKind();
  mRecord.mRan = mStreamedAnswer.ErrorRan();
  if (mStreamedAnswer.Wrong()) {
    return CallOutcome::Wrong;
  }
  if (aComplete && mStreamedAnswer.IsWhole()) {
    return CallOutcome::Complete;
  }
  if (mStreamedAnswer.Done()) {
    return CallOutcome::Wrong;
  }
  return mRecord.mKind.empty() ? CallOutcome::Unanswered : CallOutcome::Failed;
}

CallOutcome
AnswerChecker::EvaluateError()
{
  const json body = json::parse(mBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return CallOutcome::Wrong;
  }
  const json& error = body["error"];
  mRecord.mKind = error.value("kind", "");
  mRecord.mRan = error.value("ran", "");
  mRecord.mRetryAfter = error.value("retry_after_ms", int64_t(0));
  if (mRecord.mKind.empty()) {
    return CallOutcome::Wrong;
  }
  return mRecord.mRan == "no" ? CallOutcome::Refused : CallOutcome::Failed;
}

CallOutcome
AnswerChecker::EvaluateTruncatedBody()
{
  const bool reported = EvaluateError() != CallOutcome::Wrong;
  return reported ? CallOutcome::Failed : CallOutcome::Unanswered;
}

bool
AnswerChecker::MatchesExpectedBody() const
{
  const json body = json::parse(mBody, nullptr, false);
  if (mRequest.mService.empty()) {
    return body == json::parse(mExpected.WholeBody());
  }
  const std::string& target = mSentRequest.mTarget;
  return body.is_object() && body.value("method", "") == mSentRequest.mMethod &&
         body.value("path", "none") == target.substr(target.find("/calls/")) &&
         body.value("body_hash", "") ==
           std::to_string(standin::HashOf(mSentRequest.mBody));
}

} // namespace trefoilload
