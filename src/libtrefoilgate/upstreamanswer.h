#pragma once

#include "httpfields.h"

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilgate {

/** The head of an upstream's answer. */
struct UpstreamAnswer
{
  int mStatus = 0;
  std::string mReason;
  /** End-to-end headers alone. */
  Headers mHeaders;
  std::optional<uint64_t> mLength;
  /** Nothing but the end of the connection tells that it is whole. */
  bool mEndsWithConnection = false;
  /** How long the upstream keeps an idle connection, if it says so. */
  std::optional<trefoilarch::Millis> mIdleTimeout;
};

} // namespace trefoilgate
