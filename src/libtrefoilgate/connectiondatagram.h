#pragma once

#include "libtrefoilarch/connectionuseupdate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** The update as a datagram; empty if it can't be sent. */
std::vector<uint8_t>
EncodeConnectionUse(const trefoilarch::ConnectionUseUpdate& aUpdate);

/** Empty if the bytes are no such update. */
std::optional<trefoilarch::ConnectionUseUpdate>
DecodeConnectionUse(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
