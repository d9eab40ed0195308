#pragma once

#include "routepolicy.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * What in a policy can't be meant, one line each: two routes for the same
 * requests, a route to a service that is not there, a key of two workspaces,
 * spans and weights of nothing. Empty where there is nothing.
 */
std::vector<std::string>
ValidateRoutePolicy(const RoutePolicy& aPolicy);

} // namespace trefoilarch
