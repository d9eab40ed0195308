#pragma once

#include "httpfields.h"

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilgate {

/** The status line and headers of an upstream's answer. */
struct UpstreamAnswer
{
  int mStatus = 0;
  std::string mReason;
  /** Only end-to-end headers. */
  Headers mHeaders;
  std::optional<uint64_t> mLength;
  /** Only the end of the connection marks the end of the body. */
  bool mEndsWithConnection = false;
  /** The upstream closes the connection after it. */
  bool mCloses = false;
  /** The upstream's idle timeout for connections, if announced. */
  std::optional<trefoilarch::Millis> mIdleTimeout;
};

} // namespace trefoilgate
