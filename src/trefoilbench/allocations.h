#pragma once

#include <cstdint>

namespace trefoilbench {

/** Bytes that the program has allocated so far, freed ones included. */
uint64_t
AllocatedBytes();

/** Bytes that the program holds now, with the allocator's own rounding. */
int64_t
LiveBytes();

} // namespace trefoilbench
