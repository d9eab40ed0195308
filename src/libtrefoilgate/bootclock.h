#pragma once

#include "libtrefoilarch/millis.h"

namespace trefoilgate {

/**
 * Time since the machine started, the time in which it was suspended with it:
 * a belief that was fresh before a suspension must not look fresh after it.
 */
trefoilarch::Millis
BootNow();

} // namespace trefoilgate
