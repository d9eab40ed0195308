#pragma once

#include <array>
#include <string_view>

namespace trefoilarch {

/** How a requirement's operators are written, in their enumeration's order. */
inline constexpr std::array<std::string_view, 6> kRequirementOperatorNames = {
  "equals", "not_equals", "in", "not_in", "exists", "not_exists",
};

} // namespace trefoilarch
