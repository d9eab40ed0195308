#pragma once

#include "messages.h"

#include <nlohmann/json_fwd.hpp>

namespace trefoilarch {

/** A load as in the state dumps of entry and sidecar. */
nlohmann::json
Dump(const Load& aLoad);

} // namespace trefoilarch
