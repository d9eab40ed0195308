#pragma once

#include <cstdint>

namespace trefoilarch {

enum class AttemptOutcome : uint8_t
{
  Good,        /**< a complete response */
  Refused,     /**< the upstream reported that it did not run */
  Failed,      /**< the upstream responded with an error of its own */
  Unreachable, /**< no connection; nothing was sent */
  Broken,      /**< the connection broke, or the response was invalid */
  Withdrawn,   /**< ended by the gate: the caller left or the time was up */
};

} // namespace trefoilarch
