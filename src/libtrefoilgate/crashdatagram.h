#pragma once

#include "libtrefoilarch/crashupdate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** Encodes an update that fits a datagram. */
std::vector<uint8_t>
EncodeCrashUpdate(const trefoilarch::CrashUpdate& aUpdate);

/** Decodes the output of EncodeCrashUpdate(); empty for any other bytes. */
std::optional<trefoilarch::CrashUpdate>
DecodeCrashUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
