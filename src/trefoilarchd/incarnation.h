#pragma once

#include <cstdint>

namespace trefoilarch {

/** Returns a random number that differs at each start of the process, so that
 * a restart is detected. */
uint64_t
DrawIncarnation();

} // namespace trefoilarch
