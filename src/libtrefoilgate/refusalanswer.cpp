#include "refusalanswer.h"

#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

constexpr double kMillisPerSecond = 1000;

/** Digits behind the point of a time to return. */
constexpr size_t kDigits = 3;

std::string
SecondsText(Millis aSpan)
{
  std::string text =
    std::to_string(static_cast<double>(aSpan.Count()) / kMillisPerSecond);
  text.resize(text.find('.') + 1 + kDigits);
  return text;
}

} // namespace

AnswerHead
RefusalHead(const Refusal& aRefusal)
{
  AnswerHead head{ .mStatus = AnswerFor(aRefusal.mKind).mHttpStatus,
                   .mHeaders = { { "Content-Type", "application/json" } } };
  if (aRefusal.mRetryAfter > Millis(0)) {
    head.mHeaders.emplace_back("Retry-After",
                               SecondsText(aRefusal.mRetryAfter));
  }
  return head;
}

std::string
RefusalBody(const Refusal& aRefusal)
{
  const nlohmann::ordered_json body = { { "kind", Name(aRefusal.mKind) },
                                        { "ran", Name(aRefusal.mRan) } };
  return body.dump();
}

} // namespace trefoilgate
