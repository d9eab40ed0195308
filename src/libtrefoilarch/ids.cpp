#include "ids.h"

#include <array>
#include <charconv>

namespace trefoilarch {

namespace {

constexpr size_t kHalfDigits = 16;
constexpr std::string_view kDigits = "0123456789abcdef";

std::string
ToHex(uint64_t aValue)
{
  std::string text(kHalfDigits, '0');
  for (size_t i = kHalfDigits; i-- > 0; aValue >>= 4) {
    text[i] = kDigits[aValue & 0xf];
  }
  return text;
}

bool
ParseHex(std::string_view aText, uint64_t& aValue)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue, 16);
  return result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::string
RequestId::Text() const
{
  return ToHex(mHigh) + ToHex(mLow);
}

RequestId
RequestId::FromText(std::string_view aText)
{
  RequestId id;
  if (aText.size() != 2 * kHalfDigits ||
      !ParseHex(aText.substr(0, kHalfDigits), id.mHigh) ||
      !ParseHex(aText.substr(kHalfDigits), id.mLow)) {
    return {};
  }
  return id;
}

} // namespace trefoilarch
