#pragma once

#include "classifier.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * What a policy lets happen that its author may not want: selectors that lead
 * to none of the upstreams, classes that none of their callers can get to an
 * upstream, and workspaces whose default class leads nowhere. Sentences for
 * people, a few dozen at the most.
 *
 * What callers will say of themselves is not known here, nor the model or
 * service they will ask for: a requirement on such a label counts as one that
 * some caller meets. So a warning is certain, and its absence is not.
 */
std::vector<std::string>
PolicyWarnings(const Policy& aPolicy,
               const std::vector<UpstreamView>& aUpstreams);

} // namespace trefoilarch
