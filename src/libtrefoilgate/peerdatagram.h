#pragma once

#include "libtrefoilarch/peerupdate.h"
#include "libtrefoilarch/tableupdate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilgate {

/** What an entry reads of one datagram. */
constexpr size_t kMaxDatagramBytes = 4096;

/** Notes as one datagram between entries: MessagePack, arrays without names.
 * Prompts that find no room in it are left out. */
std::vector<uint8_t>
EncodePeerUpdate(const trefoilarch::PeerUpdate& aNotes);

/** News of a table as one datagram, without its rows where they find no room
 * in it: whoever lacks them asks the store. */
std::vector<uint8_t>
EncodeTableUpdate(const trefoilarch::TableUpdate& aNews);

/** Empty where the bytes are no news. */
std::optional<trefoilarch::TableUpdate>
DecodeTableUpdate(const std::vector<uint8_t>& aBytes);

/** Empty where the bytes are no notes. */
std::optional<trefoilarch::PeerUpdate>
DecodePeerUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
