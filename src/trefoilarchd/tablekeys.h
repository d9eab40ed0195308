#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoilarch {

constexpr size_t kKeyDigits = 20;

/** Pads a number with zeros, so that keys sort in numeric order. */
std::string
PaddedNumber(uint64_t aNumber);

} // namespace trefoilarch
