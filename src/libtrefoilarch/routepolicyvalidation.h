#pragma once

#include "routepolicy.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Returns one message for each error in a policy: two routes for the same
 * requests, a route to an unknown service, a key of two workspaces, a timeout
 * of zero, targets without weight. Empty for a valid policy.
 */
std::vector<std::string>
ValidateRoutePolicy(const RoutePolicy& aPolicy);

} // namespace trefoilarch
