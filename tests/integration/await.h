#pragma once

#include "libtrefoilarch/millis.h"

#include <functional>

namespace integration {

/** Allows for a busy machine; a passing test never waits that long. */
inline constexpr trefoilarch::Millis kDefaultTimeout{ 20000 };

/** Waits until the condition holds; returns false on a timeout. */
bool
Await(const std::function<bool()>& aCondition,
      trefoilarch::Millis aTimeout = kDefaultTimeout);

} // namespace integration
