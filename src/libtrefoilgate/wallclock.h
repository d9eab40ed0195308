#pragma once

#include "libtrefoilarch/millis.h"

namespace trefoilgate {

/** The Unix time by the host's clock, which may be wrong and may jump. */
trefoilarch::Millis
WallNow();

} // namespace trefoilgate
