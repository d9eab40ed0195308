#pragma once

#include "policyfault.h"
#include "policyoperation.h"
#include "policystate.h"

#include <string>

/**
 * The JSON format of policies and changes, as used by operators, the change log
 * and snapshots. Unknown fields are rejected.
 */
namespace trefoilarch {

std::string
PolicyToJson(const Policy& aPolicy);

/** Parses a policy, written by PolicyToJson or by an operator. */
ParseResult<Policy>
PolicyFromJson(const std::string& aText);

std::string
ChangeToJson(const PolicyChange& aChange);

/** Parses a change; faults name fields such as `operations[0].class.tier`. */
ParseResult<PolicyChange>
ChangeFromJson(const std::string& aText);

/** The complete state, for snapshots; equal states give equal text. */
std::string
StateToJson(const PolicyState& aState);

ParseResult<PolicyState>
StateFromJson(const std::string& aText);

} // namespace trefoilarch
