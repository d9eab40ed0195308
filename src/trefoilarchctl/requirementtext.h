#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace trefoilarchctl {

/**
 * Reads a requirement as operators write it: `key=value`, `key!=value`,
 * `key in a,b`, `key not in a,b`, `key` (exists) or `!key` (does not). Gives
 * the policy's JSON form; throws UsageError.
 */
nlohmann::json
RequirementFromText(const std::string& aText);

nlohmann::json
RequirementsFromTexts(const std::vector<std::string>& aTexts);

/** Writes a requirement of a policy as RequirementFromText() reads it. */
std::string
RequirementToText(const nlohmann::json& aRequirement);

/** All of a list, joined by "and". */
std::string
RequirementsToText(const nlohmann::json& aRequirements);

} // namespace trefoilarchctl
