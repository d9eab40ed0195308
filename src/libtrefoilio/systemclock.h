#pragma once

#include "../libtrefoilarch/millis.h"

namespace trefoilio {

/** Returns the time of the monotonic clock. */
trefoilarch::Millis
MonotonicNow();

/** Returns seconds since 1970; only for display. */
int64_t
UnixSeconds();

} // namespace trefoilio
