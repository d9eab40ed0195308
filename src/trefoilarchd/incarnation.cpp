#include "incarnation.h"

#include <random>

namespace trefoilarch {

uint64_t
DrawIncarnation()
{
  std::random_device random;
  std::uniform_int_distribution<uint64_t> nonZero(1);
  return nonZero(random);
}

} // namespace trefoilarch
