#pragma once

#include <cstdint>

namespace trefoilarch {

/** A number that is another one at each start, so that a restart shows. */
uint64_t
DrawIncarnation();

} // namespace trefoilarch
