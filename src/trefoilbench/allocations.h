#pragma once

#include <cstdint>

namespace trefoilbench {

/** Returns all bytes allocated so far, including freed ones. */
uint64_t
AllocatedBytes();

/** Returns the bytes allocated now, with the allocator's rounding. */
int64_t
LiveBytes();

} // namespace trefoilbench
