#include "libtrefoilarch/policylog.h"

#include "policyfleet.h"

#include "libtrefoilarch/policycodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

constexpr int kSteps = 800;

} // namespace

Test(policylog, invariants_hold_under_random_faults)
{
  size_t accepted = 0;
  const bool holds = rc::check([&](uint32_t aSeed) {
    model::PolicyFleet fleet(aSeed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
    }
    fleet.Heal();
    fleet.CheckAll();
    accepted += fleet.Accepted();
  });
  cr_assert(holds);
  cr_assert(accepted > 500, "too few changes were accepted: %zu", accepted);
}

Test(policylog, an_older_snapshot_changes_nothing)
{
  PolicyLog ahead({});
  ahead.OnTick(Millis(0));
  std::string old;
  for (uint64_t version = 1; version <= 2; ++version) {
    PolicyChange change;
    change.mId = std::to_string(version);
    change.mOperations = { SetDrained{ "engine-" + change.mId, true } };
    PolicyDelta delta;
    delta.mRows = { { version, ChangeToJson(change) } };
    ahead.OnPulled(delta, Millis(0));
    if (version == 1) {
      old = StateToJson(ahead.State());
    }
  }
  const Policy before = *ahead.State().mPolicy;
  ahead.OnSnapshot({ true, old }, Millis(0));
  cr_assert(*ahead.State().mPolicy == before);
  ahead.OnPulled(PolicyDelta{ 1, old, {} }, Millis(0));
  cr_assert(*ahead.State().mPolicy == before);
  cr_assert(before.mVersion == 2);
}
