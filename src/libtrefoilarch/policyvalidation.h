#pragma once

#include "classifier.h"
#include "policyfault.h"

#include <string>
#include <vector>

namespace trefoilarch {

/** Every fault of a policy's fields and references. */
PolicyFaults
ValidatePolicy(const Policy& aPolicy);

/**
 * What a policy lets happen that its author may not want: selectors that
 * match none of the upstreams, and classes whose traffic may go to none of
 * them. Sentences for people.
 */
std::vector<std::string>
PolicyWarnings(const Policy& aPolicy,
               const std::vector<UpstreamView>& aUpstreams);

} // namespace trefoilarch
