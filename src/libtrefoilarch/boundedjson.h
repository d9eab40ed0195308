#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace trefoilarch {

/** Levels of arrays and objects that any valid document of the system uses. */
constexpr size_t kMaxJsonDepth = 32;

/** Whether at most kMaxJsonDepth arrays and objects are open at once. */
bool
IsWithinJsonDepth(std::string_view aText);

/**
 * Parses JSON that another program wrote. Returns a discarded value if the text
 * is not JSON or is nested deeper than kMaxJsonDepth: copying and printing a
 * value recurse once a level.
 */
nlohmann::json
ParseBoundedJson(std::string_view aText);

} // namespace trefoilarch
