#include "base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace trefoilio {

namespace {

namespace iterators = boost::archive::iterators;

constexpr int kBitsPerDigit = 6;
constexpr int kBitsPerByte = 8;
constexpr size_t kDigitsPerGroup = 4;
constexpr size_t kMaxPadding = 2;

using Encoded = iterators::base64_from_binary<
  iterators::transform_width<const char*, kBitsPerDigit, kBitsPerByte>>;
using Decoded =
  iterators::transform_width<iterators::binary_from_base64<const char*>,
                             kBitsPerByte,
                             kBitsPerDigit>;

} // namespace

std::string
ToBase64(std::string_view aBytes)
{
  std::string text(Encoded(aBytes.data()),
                   Encoded(aBytes.data() + aBytes.size()));
  while (text.size() % kDigitsPerGroup != 0) {
    text += '=';
  }
  return text;
}

std::optional<std::string>
FromBase64(std::string_view aText)
{
  if (aText.size() % kDigitsPerGroup != 0) {
    return std::nullopt;
  }
  std::string_view digits = aText;
  while (digits.ends_with('=') && aText.size() - digits.size() < kMaxPadding) {
    digits.remove_suffix(1);
  }
  if (digits.ends_with('=') || digits.size() % kDigitsPerGroup == 1) {
    return std::nullopt;
  }
  const size_t byteCount = digits.size() * kBitsPerDigit / kBitsPerByte;
  std::string decoded;
  decoded.reserve(byteCount);
  try {
    Decoded next(digits.data());
    for (size_t index = 0; index < byteCount; ++index) {
      decoded += *next;
      ++next;
    }
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  return decoded;
}

} // namespace trefoilio
