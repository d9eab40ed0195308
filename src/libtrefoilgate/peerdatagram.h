#pragma once

#include "libtrefoilarch/peerupdate.h"
#include "libtrefoilarch/tableupdate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trefoilgate {

/** Maximum size of a datagram between entries. */
constexpr size_t kMaxDatagramBytes = 4096;

/** Encodes an update as one datagram: MessagePack, arrays without names.
 * Prompts that exceed the limits are left out. */
std::vector<uint8_t>
EncodePeerUpdate(const trefoilarch::PeerUpdate& aUpdate);

/** Encodes an update as one datagram, without its rows if they exceed the
 * maximum size: entries that lack them query the store. */
std::vector<uint8_t>
EncodeTableUpdate(const trefoilarch::TableUpdate& aUpdate);

/** Empty if the bytes are not a TableUpdate. */
std::optional<trefoilarch::TableUpdate>
DecodeTableUpdate(const std::vector<uint8_t>& aBytes);

/** Empty if the bytes are not a PeerUpdate. */
std::optional<trefoilarch::PeerUpdate>
DecodePeerUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
