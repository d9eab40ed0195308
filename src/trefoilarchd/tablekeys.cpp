#include "tablekeys.h"

namespace trefoilarch {

std::string
PaddedNumber(uint64_t aNumber)
{
  constexpr uint64_t kBase = 10;
  std::string text(kKeyDigits, '0');
  for (size_t position = kKeyDigits; position > 0; --position) {
    text[position - 1] = static_cast<char>('0' + aNumber % kBase);
    aNumber /= kBase;
  }
  return text;
}

} // namespace trefoilarch
