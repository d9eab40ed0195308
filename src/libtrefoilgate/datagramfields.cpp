#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

bool
HasFormat(const std::vector<uint8_t>& aBytes, std::string_view aFormat)
{
  // MessagePack: an array's length in one byte or three, then the text's.
  constexpr uint8_t kShortArray = 0x90;
  constexpr uint8_t kShortArrayMask = 0xf0;
  constexpr uint8_t kLongArray = 0xdc;
  constexpr uint8_t kShortText = 0xa0;
  if (aBytes.empty()) {
    return false;
  }
  const bool isShort = (aBytes[0] & kShortArrayMask) == kShortArray;
  if (!isShort && aBytes[0] != kLongArray) {
    return false;
  }
  const size_t position = isShort ? 1 : 3;
  return aBytes.size() > position + aFormat.size() &&
         aBytes[position] == (kShortText | aFormat.size()) &&
         std::equal(aFormat.begin(),
                    aFormat.end(),
                    aBytes.begin() + static_cast<std::ptrdiff_t>(position + 1));
}

bool
IsUnsigned(const nlohmann::json& aValue)
{
  return aValue.is_number_unsigned();
}

bool
IsAtMost(const nlohmann::json& aValue, uint64_t aMax)
{
  return IsUnsigned(aValue) && aValue.get<uint64_t>() <= aMax;
}

uint64_t
ClampedMillis(trefoilarch::Millis aDuration, uint64_t aMax)
{
  return static_cast<uint64_t>(
    std::clamp<int64_t>(aDuration.Count(), 0, static_cast<int64_t>(aMax)));
}

} // namespace trefoilgate
