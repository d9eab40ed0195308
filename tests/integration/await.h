#pragma once

#include "libtrefoilarch/millis.h"

#include <functional>

namespace integration {

/** Long enough for a busy machine; a test that passes never waits so long. */
inline constexpr trefoilarch::Millis kGenerous{ 20000 };

/** Waits until the condition holds; false where it does not within the limit.
 */
bool
Await(const std::function<bool()>& aCondition,
      trefoilarch::Millis aLimit = kGenerous);

} // namespace integration
