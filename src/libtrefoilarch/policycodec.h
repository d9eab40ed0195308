#pragma once

#include "policyfault.h"
#include "policyoperation.h"
#include "policystate.h"

#include <string>

/**
 * The policy and its changes as JSON text, as operators, the change log and
 * the snapshots have it. Unknown fields are refused.
 */
namespace trefoilarch {

std::string
PolicyToJson(const Policy& aPolicy);

/** Reads what PolicyToJson wrote, or what an operator did. */
ParseResult<Policy>
PolicyFromJson(const std::string& aText);

std::string
ChangeToJson(const PolicyChange& aChange);

/** Reads a change; faults name fields such as `operations[0].class.tier`. */
ParseResult<PolicyChange>
ChangeFromJson(const std::string& aText);

/** A whole state, for snapshots; equal states give equal text. */
std::string
StateToJson(const PolicyState& aState);

ParseResult<PolicyState>
StateFromJson(const std::string& aText);

} // namespace trefoilarch
