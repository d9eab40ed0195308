#pragma once

#include <string>

namespace trefoilarch {

/**
 * The fleet at a glance, as JSON text, out of the router's state dump: each
 * upstream with its state (up, down, draining, leaving) and load.
 */
std::string
FleetStatus(const std::string& aRouterDump);

} // namespace trefoilarch
