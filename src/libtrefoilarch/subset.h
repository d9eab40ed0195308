#pragma once

#include "membership.h"

#include <cstddef>
#include <string>
#include <vector>

namespace trefoilarch {

/**
 * The sidecars that one entry connects to: the aSize live ones of each group
 * (model or service) that rank first in a rendezvous hash of the entry and the
 * upstream, and the leaving ones that rank before the last of them. All of
 * them where aSize is 0 or the group is no larger.
 *
 * Every entry ranks for itself, so no agreement is needed; a sidecar that
 * comes or goes changes at most one place in an entry's subset, and an entry
 * that comes or goes none in another's.
 */
std::vector<SidecarMember>
ChooseSubset(const std::string& aEntry,
             const std::vector<SidecarMember>& aSidecars,
             size_t aSize);

} // namespace trefoilarch
