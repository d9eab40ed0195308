#pragma once

#include "libtrefoilio/settings.h"

#include <string>
#include <vector>

namespace trefoilarch {

/** The daemon's flags and environment variables with their checks. */
std::vector<trefoilio::SettingSpec>
DaemonSettings();

/** Faults that show only in how settings go together; each names its flag. */
std::vector<std::string>
CombinedFaults(const trefoilio::Settings& aSettings);

} // namespace trefoilarch
