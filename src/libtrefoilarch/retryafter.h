#pragma once

#include "millis.h"

#include <optional>
#include <string_view>

namespace trefoilarch {

/** The value of a Retry-After header. */
struct RetryAfter
{
  Millis mDelay;
  /** Whether the header named a longer time than is accepted. */
  bool mLimited = false;

  bool operator==(const RetryAfter&) const = default;
};

/** Reads a number of seconds, which may have a fraction; empty if it is none or
 * negative. A time of more than an hour is limited to that. */
std::optional<RetryAfter>
ParseRetryAfter(std::string_view aText);

} // namespace trefoilarch
