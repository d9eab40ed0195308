#include "prompt.h"

#include <array>
#include <charconv>

namespace trefoilarch {

std::string
SegmentName(uint64_t aId)
{
  constexpr int kHexadecimal = 16;
  std::array<char, sizeof(aId) * 2> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aId, kHexadecimal);
  return { digits.data(), end.ptr };
}

} // namespace trefoilarch
