#pragma once

#include "libtrefoilarch/tierupdate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** Maximum number of reports in one datagram. */
constexpr size_t kMaxTierReports = 32;

/** Encodes an update as one datagram: MessagePack, arrays without names. Leaves
 * out reports beyond kMaxTierReports and those that the decoder would reject.
 * Empty if the sender's name is invalid. */
std::vector<uint8_t>
EncodeTierUpdate(const trefoilarch::TierUpdate& aUpdate);

/** Decodes the output of EncodeTierUpdate(); empty for any other bytes. */
std::optional<trefoilarch::TierUpdate>
DecodeTierUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
