#pragma once

#include <string>

namespace trefoilarch {

struct Policy;

/**
 * Returns a summary of the fleet as JSON text, from the router's state dump:
 * each upstream with its load and its state: up, down, ejected, leaving, or
 * draining, as set by its sidecar or by the policy.
 */
std::string
FleetStatus(const std::string& aRouterDump, const Policy& aPolicy);

} // namespace trefoilarch
