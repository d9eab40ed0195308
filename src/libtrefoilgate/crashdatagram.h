#pragma once

#include "libtrefoilarch/crashupdate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoilgate {

/** The bytes of the news, which fits a datagram. */
std::vector<uint8_t>
EncodeCrashUpdate(const trefoilarch::CrashUpdate& aNews);

/** Reads what EncodeCrashUpdate() wrote; nothing if it is anything else. */
std::optional<trefoilarch::CrashUpdate>
DecodeCrashUpdate(const std::vector<uint8_t>& aBytes);

} // namespace trefoilgate
