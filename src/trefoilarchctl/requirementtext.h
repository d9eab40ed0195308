#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace trefoilarchctl {

/**
 * Parses a requirement on the command line: `key=value`, `key!=value`,
 * `key in a,b`, `key not in a,b`, `key` (exists) or `!key` (does not exist).
 * Returns the policy's JSON form; throws UsageError.
 */
nlohmann::json
RequirementFromText(const std::string& aText);

nlohmann::json
RequirementsFromTexts(const std::vector<std::string>& aTexts);

/** Formats a policy's requirement as RequirementFromText() parses it. */
std::string
RequirementToText(const nlohmann::json& aRequirement);

/** The requirements of a list, joined by "and". */
std::string
RequirementsToText(const nlohmann::json& aRequirements);

} // namespace trefoilarchctl
