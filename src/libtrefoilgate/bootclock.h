#pragma once

#include "libtrefoilarch/millis.h"

namespace trefoilgate {

/**
 * Time since the machine started, including time spent suspended, so that state
 * does not look fresh after a suspension.
 */
trefoilarch::Millis
BootNow();

} // namespace trefoilgate
