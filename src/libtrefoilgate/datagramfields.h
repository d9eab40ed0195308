#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace trefoilgate {

/** Checked numbers, shared by the datagrams between entries. */

bool
IsUnsigned(const nlohmann::json& aValue);

bool
IsAtMost(const nlohmann::json& aValue, uint64_t aMax);

/** The duration in milliseconds, clamped to 0 and aMax. */
uint64_t
ClampedMillis(trefoilarch::Millis aDuration, uint64_t aMax);

} // namespace trefoilgate
