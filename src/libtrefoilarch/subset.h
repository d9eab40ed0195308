#pragma once

#include "membership.h"

#include <cstddef>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Chooses the sidecars that an entry connects to: the aSize live ones of each
 * group (model or service) that rank first in a rendezvous hash of the entry
 * and the upstream, and the leaving ones that rank before the last of them. All
 * sidecars if aSize is 0 or the group is no larger.
 *
 * Every entry ranks for itself, so no agreement is needed. Adding or removing a
 * sidecar changes at most one member of an entry's subset; adding or removing
 * an entry changes no other entry's subset.
 */
std::vector<SidecarMember>
ChooseSubset(const std::string& aEntry,
             const std::vector<SidecarMember>& aSidecars,
             size_t aSize);

} // namespace trefoilarch
