#include "platformfleet.h"

#include "integration/await.h"
#include "integration/temporaryfolder.h"

#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <fstream>

using namespace platformtest;
using integration::Await;
using integration::TemporaryFolder;
using nlohmann::json;
using trefoilarch::Millis;

/** Settings that change while a gate runs. */
namespace {

/** The settings file of the gates in this test. */
class SettingsFileFixture
{
public:
  SettingsFileFixture()
  {
    setenv("TREFOILARCH_BOOT", Path().c_str(), 1);
    Write(5000, "0.2");
  }

  void Write(int aRevokeMs, const std::string& aRetryShare) const
  {
    std::ofstream file(Path());
    file << "TREFOILARCH_REVOKE_MS=" << aRevokeMs << "\n"
         << "TREFOILARCH_RETRY_SHARE=" << aRetryShare << "\n"
         << "TREFOILARCH_MOST_DESCRIPTORS=" << 2000 + aRevokeMs << "\n";
  }

private:
  std::string Path() const { return mFolder.Path() + "/gate.env"; }

  TemporaryFolder mFolder;
};

/** The status of a request with a key after the store has been down for 3 s. */
int
StatusAfterOutage(const PlatformFleet& aFleet)
{
  aFleet.Control({ { "fault", "down" } });
  const bool refused =
    Await([&] { return aFleet.Call({}).mStatus == 503; }, Millis(3000));
  return refused ? 503 : 200;
}

} // namespace

Test(reload, sighup_applies_changed_limits_without_interruption, .timeout = 30)
{
  const SettingsFileFixture settings;
  PlatformFleet fleet({ .mSettingsFromFile = true });
  settings.Write(2500, "0.1");
  fleet.Gate(0).Signal(SIGHUP);
  cr_assert(Await([&] { return !fleet.LogOf(0, "reloaded").empty(); }));
  const json line = fleet.LogOf(0, "reloaded").front();
  cr_expect(line.at("changed") == json::array({ "revoke-ms", "retry-share" }));
  cr_expect(line.at("needs_restart") == json::array({ "most-descriptors" }));
  cr_expect(fleet.Call({}).mStatus == 200);
  cr_expect(StatusAfterOutage(fleet) == 503,
            "keys are checked by the new limit");
}

Test(reload, invalid_settings_leave_the_old_in_force, .timeout = 30)
{
  const SettingsFileFixture settings;
  PlatformFleet fleet({ .mSettingsFromFile = true });
  settings.Write(2500, "three");
  fleet.Gate(0).Signal(SIGHUP);
  cr_assert(Await([&] { return !fleet.LogOf(0, "reload_refused").empty(); }));
  const json faults = fleet.LogOf(0, "reload_refused").front().at("faults");
  cr_assert(faults.size() == 1);
  cr_expect(faults.front().get<std::string>().find("retry-share") !=
            std::string::npos);
  cr_expect(fleet.Metrics().find(
              "trefoilarch_gate_reloads_total{result=\"refused\"} 1\n") !=
            std::string::npos);
  cr_expect(StatusAfterOutage(fleet) == 200,
            "keys are checked by the old limit");
}

Test(reload, a_file_that_changes_without_a_signal_is_noticed, .timeout = 30)
{
  const SettingsFileFixture settings;
  PlatformFleet fleet({ .mSettingsFromFile = true });
  settings.Write(2500, "0.2");
  cr_expect(
    Await([&] { return !fleet.LogOf(0, "reloaded").empty(); }, Millis(9000)));
  cr_expect(fleet.Call({}).mStatus == 200);
}
