#include "fuzztarget.h"

#include "settingsfile.h"

#include "libtrefoilgate/gatesettings.h"
#include "libtrefoilio/settings.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace trefoilgate;

/** A settings file, up to the values that a gate runs with. */
void
ReadInput(std::string_view aInput)
{
  static const std::string kPath =
    "/tmp/settingsfuzz-" + std::to_string(getpid());
  std::ofstream(kPath, std::ios::binary) << aInput;
  const auto file = trefoilplatform::ReadSettingsFile(kPath);
  std::remove(kPath.c_str());
  if (!file) {
    return;
  }
  const trefoilio::SettingsReader reader("gate", "", GateSettingSpecs());
  const std::array<const char*, 1> arguments = { "gate" };
  const auto outcome =
    reader.Read(1, arguments.data(), [&](const char* aName) -> const char* {
      const auto found = file->find(aName);
      return found == file->end() ? nullptr : found->second.c_str();
    });
  if (outcome.mSettings) {
    static_cast<void>(ReadGateSettings(*outcome.mSettings));
  }
}
