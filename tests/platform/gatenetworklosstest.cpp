#include "platformfleet.h"

#include "integration/await.h"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

using namespace platformtest;
using integration::Await;
using nlohmann::json;
using trefoilarch::Millis;

namespace {

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

json
StoreLoss(const std::string& aKind)
{
  return aKind == "refused"
           ? json{ { "cut", true }, { "refuse_new", true } }
           : json{ { "silence", "both" }, { "silence_new", true } };
}

json
StoreRecovery(const std::string& aKind)
{
  return aKind == "refused" ? json{ { "refuse_new", false } }
                            : json{ { "cut", true }, { "silence_new", false } };
}

/** Requests received by the worker during aCalls calls of the first gate. */
size_t
RunsIn(const PlatformFleet& aFleet, int aCalls, size_t aWorker)
{
  const size_t before = aFleet.Runs(aWorker).size();
  for (int each = 0; each < aCalls; ++each) {
    cr_expect(aFleet.Call({}).mStatus == 200);
  }
  return aFleet.Runs(aWorker).size() - before;
}

} // namespace

Test(gatenetworkloss,
     an_upstream_that_left_during_a_gates_loss_of_the_store_gets_no_request,
     .timeout = 60)
{
  for (const std::string kind : { "refused", "silent" }) {
    PlatformFleet fleet(
      { .mWorkers = 2, .mGates = 2, .mProxied = true, .mPeers = true });
    cr_assert(fleet.AwaitPeers());
    fleet.StoreProxy(0).Order(StoreLoss(kind));
    cr_assert(Await([&] { return !fleet.LogOf(0, "dependency_lost").empty(); },
                    Millis(4000)));
    fleet.Unlist("i-0");
    Pause(2500);
    fleet.StoreProxy(0).Order(StoreRecovery(kind));
    cr_assert(
      Await([&] { return !fleet.LogOf(0, "upstream_unlisted").empty(); },
            Millis(4000)));
    Pause(300);
    cr_expect(RunsIn(fleet, 20, 0) == 0, "%s", kind.c_str());
  }
}

Test(gatenetworkloss, repeated_losses_keep_no_upstream_that_left, .timeout = 60)
{
  PlatformFleet fleet(
    { .mWorkers = 2, .mGates = 2, .mProxied = true, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  for (int each = 0; each < 3; ++each) {
    fleet.StoreProxy(0).Order(StoreLoss("refused"));
    if (each == 0) {
      fleet.Unlist("i-0");
    }
    Pause(2300);
    fleet.StoreProxy(0).Order(StoreRecovery("refused"));
    const size_t lost = fleet.LogOf(0, "dependency_lost").size();
    cr_assert(
      Await([&] { return fleet.LogOf(0, "dependency_back").size() == lost; },
            Millis(4000)));
    Pause(300);
    cr_expect(RunsIn(fleet, 10, 0) == 0, "after loss %d", each);
  }
}

Test(gatenetworkloss,
     upstreams_that_lapse_in_a_store_outage_are_kept_by_all_gates,
     .timeout = 60)
{
  PlatformFleet fleet(
    { .mWorkers = 2, .mGates = 2, .mProxied = true, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  fleet.Control({ { "fault", "down" } });
  Pause(4000);
  fleet.Unlist("i-0");
  fleet.Unlist("i-1");
  fleet.Control({ { "fault", "up" } });
  Pause(1200);
  for (size_t gate = 0; gate < 2; ++gate) {
    cr_expect(fleet.Call({}, gate).mStatus == 200);
  }
  fleet.List(0);
  Pause(2500);
  for (size_t gate = 0; gate < 2; ++gate) {
    cr_expect(fleet.Call({}, gate).mStatus == 200);
  }
  cr_expect(RunsIn(fleet, 10, 1) == 0, "it was not listed again");
}
