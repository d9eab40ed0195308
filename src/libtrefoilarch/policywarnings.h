#pragma once

#include "classifier.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Returns warnings about parts of a valid policy that have no effect: selectors
 * that match none of the upstreams, classes that reach no upstream for any
 * workspace, and workspaces whose default class reaches none. They are
 * human-readable sentences, at most a few dozen.
 *
 * The labels, models and services of future requests are unknown: a
 * requirement on such a label is assumed to be met by some caller. A warning
 * is therefore always right, but some problems go unreported.
 */
std::vector<std::string>
PolicyWarnings(const Policy& aPolicy,
               const std::vector<UpstreamView>& aUpstreams);

} // namespace trefoilarch
