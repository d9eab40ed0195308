#pragma once

#include "millis.h"

#include <optional>

namespace trefoilarch {

/** What a response of an upstream states about further requests to it. */
struct AvailabilityStatement
{
  /** Its process is leaving and accepts no new requests. */
  bool mLeaving = false;
  /** It accepts no requests from this entry for this time. */
  std::optional<Millis> mPause;
  /** Whether a value could not be parsed, or was out of range and limited. */
  bool mInvalid = false;

  bool operator==(const AvailabilityStatement&) const = default;
};

} // namespace trefoilarch
