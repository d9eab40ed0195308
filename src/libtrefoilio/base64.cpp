#include "base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace trefoilio {

namespace {

namespace iterators = boost::archive::iterators;

constexpr int kBitsOfDigit = 6;
constexpr int kBitsOfByte = 8;
constexpr size_t kDigitsOfGroup = 4;
constexpr size_t kMostPadding = 2;

using Encoded = iterators::base64_from_binary<
  iterators::transform_width<const char*, kBitsOfDigit, kBitsOfByte>>;
using Decoded =
  iterators::transform_width<iterators::binary_from_base64<const char*>,
                             kBitsOfByte,
                             kBitsOfDigit>;

} // namespace

std::string
ToBase64(std::string_view aBytes)
{
  std::string text(Encoded(aBytes.data()),
                   Encoded(aBytes.data() + aBytes.size()));
  while (text.size() % kDigitsOfGroup != 0) {
    text += '=';
  }
  return text;
}

std::optional<std::string>
FromBase64(std::string_view aText)
{
  if (aText.size() % kDigitsOfGroup != 0) {
    return std::nullopt;
  }
  std::string_view digits = aText;
  while (digits.ends_with('=') && aText.size() - digits.size() < kMostPadding) {
    digits.remove_suffix(1);
  }
  if (digits.ends_with('=') || digits.size() % kDigitsOfGroup == 1) {
    return std::nullopt;
  }
  const size_t bytes = digits.size() * kBitsOfDigit / kBitsOfByte;
  std::string decoded;
  decoded.reserve(bytes);
  try {
    Decoded next(digits.data());
    for (size_t each = 0; each < bytes; ++each) {
      decoded += *next;
      ++next;
    }
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  return decoded;
}

} // namespace trefoilio
