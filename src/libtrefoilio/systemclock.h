#pragma once

#include "../libtrefoilarch/millis.h"

namespace trefoilio {

/** The machine's monotonic clock. */
trefoilarch::Millis
MonotonicNow();

/** Seconds since 1970, for people's eyes alone. */
int64_t
UnixSeconds();

} // namespace trefoilio
