#pragma once

#include "policy.h"
#include "policyfault.h"
#include "policyoperation.h"

namespace trefoilarch {

/** All faults in a policy's fields and references. */
PolicyFaults
ValidatePolicy(const Policy& aPolicy);

/** Faults in a change's id and author, and a missing operation. */
PolicyFaults
ValidateChange(const PolicyChange& aChange);

} // namespace trefoilarch
