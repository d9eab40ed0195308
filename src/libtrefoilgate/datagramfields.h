#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace trefoilgate {

/** What the datagrams between entries have in common: numbers that are checked
 * before they are taken. */

bool
IsUnsigned(const nlohmann::json& aValue);

bool
IsAtMost(const nlohmann::json& aValue, uint64_t aMost);

/** The span in milliseconds, no less than 0 and no more than that. */
uint64_t
ClampedMillis(trefoilarch::Millis aSpan, uint64_t aMost);

} // namespace trefoilgate
