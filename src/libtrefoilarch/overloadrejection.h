#pragma once

#include "millis.h"

#include <string>

namespace trefoilarch {

/** A request that should be rejected as engines are overloaded. */
struct OverloadRejection
{
  Millis mRetryAfter;
  std::string mMessage = "would start too late";
  /** Whether its workspace is over its share. */
  bool mOverShare = false;
};

} // namespace trefoilarch
