#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace trefoilgate {

/** Checked fields, shared by the datagrams between entries. */

/** Whether the datagram is an array that starts with this text of fewer than 32
 * bytes. Cheaper than decoding it. */
bool
HasFormat(const std::vector<uint8_t>& aBytes, std::string_view aFormat);

bool
IsUnsigned(const nlohmann::json& aValue);

bool
IsAtMost(const nlohmann::json& aValue, uint64_t aMax);

/** The duration in milliseconds, clamped to 0 and aMax. */
uint64_t
ClampedMillis(trefoilarch::Millis aDuration, uint64_t aMax);

} // namespace trefoilgate
