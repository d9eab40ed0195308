#include "tablekeys.h"

namespace trefoilarch {

std::string
PaddedNumber(uint64_t aNumber)
{
  constexpr uint64_t kBase = 10;
  std::string text(kKeyDigits, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = static_cast<char>('0' + aNumber % kBase);
    aNumber /= kBase;
  }
  return text;
}

} // namespace trefoilarch
