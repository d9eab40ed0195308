#pragma once

#include "libtrefoilarch/peernotes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilgate {

/** Notes as one datagram between entries: MessagePack, arrays without names.
 * Prompts that find no room in it are left out. */
std::vector<uint8_t>
EncodeNotes(const trefoilarch::PeerNotes& aNotes);

/** Empty where the bytes are none of ours. */
std::optional<trefoilarch::PeerNotes>
DecodeNotes(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
