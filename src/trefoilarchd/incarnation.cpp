#include "incarnation.h"

#include <random>

namespace trefoilarch {

uint64_t
DrawIncarnation()
{
  std::random_device random;
  std::uniform_int_distribution<uint64_t> any(1);
  return any(random);
}

} // namespace trefoilarch
