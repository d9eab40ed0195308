#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoilarch {

constexpr size_t kKeyDigits = 20;

/** The number with leading zeros, so that keys sort as their numbers do. */
std::string
PaddedNumber(uint64_t aNumber);

} // namespace trefoilarch
