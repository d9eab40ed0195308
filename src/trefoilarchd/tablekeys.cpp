#include "tablekeys.h"

namespace trefoilarch {

std::string
PaddedNumber(uint64_t aNumber)
{
  constexpr uint64_t kBase = 10;
  std::string text(kKeyDigits, '0');
  for (size_t place = kKeyDigits; place > 0; --place) {
    text[place - 1] = static_cast<char>('0' + aNumber % kBase);
    aNumber /= kBase;
  }
  return text;
}

} // namespace trefoilarch
