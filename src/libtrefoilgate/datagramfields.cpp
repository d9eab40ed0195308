#include "datagramfields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trefoilgate {

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
