#pragma once

#include "libtrefoilio/settings.h"

#include <string>
#include <vector>

namespace trefoilarch {

/** Returns the daemon's flags and environment variables, with checks. */
std::vector<trefoilio::SettingSpec>
DaemonSettings();

/** Returns invalid combinations of settings; each text names its flag. */
std::vector<std::string>
CombinedFaults(const trefoilio::Settings& aSettings);

} // namespace trefoilarch
