#pragma once

#include "policy.h"
#include "policyfault.h"
#include "policyoperation.h"

namespace trefoilarch {

/** Every fault of a policy's fields and references. */
PolicyFaults
ValidatePolicy(const Policy& aPolicy);

/** Faults of a change's own fields: its id, its author, no operations. */
PolicyFaults
ValidateChange(const PolicyChange& aChange);

} // namespace trefoilarch
