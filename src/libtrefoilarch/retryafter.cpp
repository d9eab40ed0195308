#include "retryafter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kMillisPerSecond = 1000;

} // namespace

std::optional<RetryAfter>
ParseRetryAfter(std::string_view aText)
{
  double seconds = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedTo, error] = std::from_chars(aText.data(), end, seconds);
  if (error != std::errc() || parsedTo != end || !std::isfinite(seconds) ||
      seconds < 0) {
    return std::nullopt;
  }
  // Rounded up: the sender wants no request before that time.
  const double millis =
    std::ceil(std::min(seconds, kMaxSeconds) * kMillisPerSecond);
  return RetryAfter{ .mDelay = Millis(static_cast<int64_t>(millis)),
                     .mLimited = seconds > kMaxSeconds };
}

} // namespace trefoilarch
