#pragma once

#include <string>

namespace trefoilarch {

struct Policy;

/**
 * The fleet at a glance, as JSON text, out of the router's state dump: each
 * upstream with its load and its state: up, down, ejected, leaving, or
 * draining, by its sidecar's word or by the policy's.
 */
std::string
FleetStatus(const std::string& aRouterDump, const Policy& aPolicy);

} // namespace trefoilarch
