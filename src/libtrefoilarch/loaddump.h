#pragma once

#include "messages.h"

#include <nlohmann/json_fwd.hpp>

namespace trefoilarch {

/** A load as both cores' state dumps show it. */
nlohmann::json
Dump(const Load& aLoad);

} // namespace trefoilarch
