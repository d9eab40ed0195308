#include "refusalanswer.h"

#include <nlohmann/json.hpp>

namespace trefoilgate {

using namespace trefoilarch;

namespace {

constexpr double kMillisPerSecond = 1000;

/** Decimal places of Retry-After. */
constexpr size_t kDecimalPlaces = 3;

std::string
SecondsText(Millis aDuration)
{
  std::string text =
    std::to_string(static_cast<double>(aDuration.Count()) / kMillisPerSecond);
  text.resize(text.find('.') + 1 + kDecimalPlaces);
  return text;
}

} // namespace

AnswerHead
RefusalHead(const Refusal& aRefusal)
{
  AnswerHead head{ .mStatus = AnswerFor(aRefusal.mKind).mHttpStatus,
                   .mHeaders = { { "Content-Type", "application/json" } },
                   .mRetryAfter = aRefusal.mRetryAfter };
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
