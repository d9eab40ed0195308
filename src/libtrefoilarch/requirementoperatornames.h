#pragma once

#include <array>
#include <string_view>

namespace trefoilarch {

/** The operators' names in JSON, in the order of RequirementOperator. */
inline constexpr std::array<std::string_view, 6> kRequirementOperatorNames = {
  "equals", "not_equals", "in", "not_in", "exists", "not_exists",
};

} // namespace trefoilarch
