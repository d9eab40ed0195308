#include "refusalreply.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr int kMinServerError = 500;
constexpr int kTooManyRequests = 429;
constexpr int64_t kMillisPerSecond = 1000;

const char*
TypeFor(int aStatus)
{
  if (aStatus == kTooManyRequests) {
    return "rate_limit_error";
  }
  return aStatus >= kMinServerError ? "server_error" : "invalid_request_error";
}

bool
HasRetryAfter(const Refusal& aRefusal)
{
  return AnswerFor(aRefusal.mKind).mRetryable &&
         aRefusal.mRetryAfter > Millis(0);
}

} // namespace

std::string
RefusalJson(const Refusal& aRefusal, const RequestId& aId)
{
  const ErrorAnswer& answer = AnswerFor(aRefusal.mKind);
  nlohmann::ordered_json error;
  error["message"] =
    aRefusal.mMessage.empty() ? std::string(answer.mName) : aRefusal.mMessage;
  error["type"] = TypeFor(answer.mHttpStatus);
  error["code"] = answer.mName;
  error["kind"] = answer.mName;
  error["ran"] = Name(aRefusal.mRan);
  if (HasRetryAfter(aRefusal)) {
    error["retry_after_ms"] = aRefusal.mRetryAfter.Count();
  }
  error["request_id"] = aId.Text();
  return nlohmann::ordered_json{ { "error", error } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

trefoilio::HttpReply
RefusalReply(const Refusal& aRefusal, const RequestId& aId)
{
  trefoilio::HttpReply reply;
  reply.mStatus = AnswerFor(aRefusal.mKind).mHttpStatus;
  reply.mHeaders = { { "Content-Type", "application/json" },
                     { kRequestIdHeader, aId.Text() } };
  if (HasRetryAfter(aRefusal)) {
    const int64_t millis = aRefusal.mRetryAfter.Count();
    const int64_t seconds = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
    reply.mHeaders.emplace_back("Retry-After", std::to_string(seconds));
  }
  reply.mBody = RefusalJson(aRefusal, aId);
  return reply;
}

} // namespace trefoilarch
