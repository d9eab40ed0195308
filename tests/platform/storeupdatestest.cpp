#include "platformfleet.h"

#include "integration/await.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

using namespace platformtest;
using integration::Await;
using trefoilarch::Millis;
using trefoilio::MonotonicNow;

namespace {

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

int
StatusFor(const PlatformFleet& aFleet, const std::string& aKey)
{
  return aFleet.Call({ .mKey = aKey }).mStatus;
}

/** Number of calls the store has received, without the test's control calls. */
int
StoreCalls(const PlatformFleet& aFleet)
{
  return aFleet.Control(nlohmann::json::object()).at("calls").get<int>();
}

} // namespace

Test(storeupdates, a_policy_takes_effect_soon_and_no_older_one_replaces_it)
{
  const PlatformFleet fleet;
  cr_expect(StatusFor(fleet, "key-3") == 401);
  fleet.PutPolicy(PlatformFleet::MakePolicy(7, { "key-1", "key-3" }));
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-3") == 200; }, Millis(1000)));
  cr_expect(StatusFor(fleet, "key-2") == 401);
  fleet.PutPolicy(PlatformFleet::MakePolicy(5, { "key-2" }));
  Pause(300);
  cr_expect(StatusFor(fleet, "key-3") == 200);
  cr_expect(StatusFor(fleet, "key-2") == 401);
}

Test(storeupdates,
     a_key_taken_away_after_a_restore_is_not_honoured,
     .timeout = 60)
{
  const PlatformFleet fleet({ .mGates = 2, .mRevokeMs = 3000, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  fleet.Control({ { "copy", true } });
  fleet.PutPolicy(PlatformFleet::MakePolicy(2, { "key-1", "key-2", "key-3" }));
  cr_assert(
    Await([&] { return StatusFor(fleet, "key-3") == 200; }, Millis(2000)));
  Pause(500);
  fleet.Control({ { "fault", "down" } });
  Pause(500);
  // The last change gets the version that the gates have read before.
  const auto row = [](const nlohmann::json& aPolicy) {
    return nlohmann::json{ { "table", "op" },
                           { "key", "config" },
                           { "value", aPolicy } };
  };
  const auto revoked = PlatformFleet::MakePolicy(3, { "key-1" });
  fleet.Control({ { "restore", true }, { "put", { row(revoked) } } });
  fleet.Control({ { "fault", "up" } });
  Pause(3000);
  for (size_t gate = 0; gate < 2; ++gate) {
    const GateCall call{ .mKey = "key-2" };
    cr_expect(fleet.Call(call, gate).mStatus == 401);
  }
}

Test(storeupdates,
     an_upstream_that_leaves_stays_so_when_the_store_goes_back,
     .timeout = 60)
{
  const PlatformFleet fleet;
  const auto list = [&](uint64_t aSequence, const char* aState) {
    auto entry = PlatformFleet::EntryOf(fleet.WorkerAddress(0), 1, aSequence);
    entry["state"] = aState;
    fleet.PutRow("servers", "i-0", entry);
  };
  list(1, "ready");
  fleet.Control({ { "copy", true } });
  list(2, "draining");
  cr_assert(
    Await([&] { return StatusFor(fleet, "key-1") == 503; }, Millis(2000)));
  fleet.Control({ { "restore", true } });
  const auto isReadAnew = [&] {
    const auto lines = fleet.LogOf(0, "store_era_changed");
    return std::any_of(lines.begin(), lines.end(), [](const auto& aLine) {
      return aLine.at("table") == "servers";
    });
  };
  cr_expect(Await(isReadAnew, Millis(5000)));
  Pause(200);
  cr_expect(StatusFor(fleet, "key-1") == 503);
  list(3, "ready");
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-1") == 200; }, Millis(2000)));
}

Test(storeupdates, a_key_is_honoured_no_longer_than_its_revocation_may_take)
{
  constexpr int kRevokeMs = 3000;
  const PlatformFleet fleet({ .mRevokeMs = kRevokeMs });
  cr_expect(StatusFor(fleet, "key-2") == 200);
  for (const char* fault : { "down", "silent", "busy", "reset" }) {
    fleet.Control({ { "fault", fault } });
    Pause(kRevokeMs);
    const int status = StatusFor(fleet, "key-2");
    cr_expect(status == 503, "%s: %d", fault, status);
    fleet.Control({ { "fault", "up" } });
    cr_expect(
      Await([&] { return StatusFor(fleet, "key-2") == 200; }), "%s", fault);
  }
}

Test(storeupdates, a_key_is_not_honoured_after_a_suspension_of_the_process)
{
  constexpr int kRevokeMs = 3000;
  PlatformFleet fleet({ .mRevokeMs = kRevokeMs });
  cr_expect(StatusFor(fleet, "key-2") == 200);
  fleet.Gate(0).Signal(SIGSTOP);
  fleet.PutPolicy(PlatformFleet::MakePolicy(9, { "key-1" }));
  Pause(kRevokeMs + 500);
  int status = 0;
  std::thread caller([&] { status = StatusFor(fleet, "key-2"); });
  Pause(100);
  fleet.Gate(0).Signal(SIGCONT);
  caller.join();
  cr_expect(status == 503 || status == 401, "%d", status);
  cr_expect(fleet.Runs(0).size() == 1);
}

Test(storeupdates, a_dropped_history_causes_a_full_read)
{
  const PlatformFleet fleet;
  fleet.Control({ { "fault", "down" } });
  fleet.PutPolicy(PlatformFleet::MakePolicy(4, { "key-4" }));
  fleet.Control({ { "drop_history", true } });
  fleet.Control({ { "fault", "up" } });
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-4") == 200; }, Millis(3000)));
}

Test(storeupdates, a_leaving_upstream_gets_no_new_work)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.List(0, "draining");
  Pause(1000);
  const size_t before = fleet.Runs(0).size();
  for (int each = 0; each < 20; ++each) {
    cr_expect(StatusFor(fleet, "key-1") == 200);
  }
  cr_expect(fleet.Runs(0).size() == before);
  fleet.Unlist("i-1");
  Pause(1000);
  cr_expect(StatusFor(fleet, "key-1") == 503);
}

/**
 * Guards against requests to a leaving upstream. The store became silent right
 * after several changes and never answered the long poll for the next ones,
 * though it served new queries a second later. The age of an entry's copy had
 * no bound of its own, and a query that may be held for ten seconds counted as
 * a promise that nothing had changed. All entries reported the loss of the
 * store 10.8 s after the last changes they had read, and had missed the
 * upstream's row.
 */
Test(storeupdates, an_unanswered_long_poll_hides_no_leaving_upstream)
{
  constexpr int kDrainMs = 2000;
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.ListAs("i-2", fleet.WorkerAddress(1));
  cr_assert(Await([&] { return fleet.LogOf(0, "upstream_listed").size() > 2; },
                  Millis(2000)));
  fleet.Control({ { "fault", "deaf" } });
  Pause(1500);
  fleet.Control({ { "fault", "up" } });
  Pause(100);
  fleet.List(0, "draining");
  Pause(kDrainMs);
  const size_t before = fleet.Runs(0).size();
  for (int each = 0; each < 20; ++each) {
    cr_expect(StatusFor(fleet, "key-1") == 200);
  }
  cr_expect(fleet.Runs(0).size() == before);
}

Test(storeupdates,
     upstreams_that_lapse_in_a_store_outage_are_kept_until_it_ends)
{
  const PlatformFleet fleet;
  fleet.Control({ { "fault", "down" } });
  Pause(2500);
  fleet.Unlist("i-0");
  fleet.Control({ { "fault", "up" } });
  Pause(1200);
  cr_expect(StatusFor(fleet, "key-1") == 200);
  fleet.List(0);
  Pause(2500);
  cr_expect(StatusFor(fleet, "key-1") == 200);
  fleet.Unlist("i-0");
  Pause(800);
  cr_expect(StatusFor(fleet, "key-1") == 503);
}

Test(storeupdates, an_upstream_still_missing_after_the_outage_is_dropped)
{
  const PlatformFleet fleet;
  fleet.Control({ { "fault", "reset" } });
  Pause(2500);
  fleet.Unlist("i-0");
  fleet.Control({ { "fault", "up" } });
  Pause(4500);
  cr_expect(StatusFor(fleet, "key-1") == 503);
  cr_expect(fleet.Runs(0).empty());
}

Test(storeupdates, a_gate_is_not_ready_before_it_has_policy_and_list)
{
  PlatformFleet fleet;
  fleet.Control({ { "fault", "down" } });
  fleet.StartGate();
  cr_assert(Await([&] { return !fleet.LogOf(1, "started").empty(); }));
  Pause(500);
  cr_expect(fleet.ReadyStatus(1) == 503);
  cr_expect(fleet.Call({}, 1).mStatus == 503);
  fleet.Control({ { "fault", "up" } });
  cr_expect(Await([&] { return fleet.ReadyStatus(1) == 200; }));
}

/** A gate without peers sends a verification query every 0.5 to 1 s,
 * which covers all tables while nothing changes, and a long poll every 25 s. */
Test(storeupdates, the_store_gets_no_more_calls_than_planned)
{
  const PlatformFleet fleet;
  const int before = StoreCalls(fleet);
  Pause(6000);
  const int made = StoreCalls(fleet) - before;
  cr_expect(made >= 5 && made <= 13 + 2, "%d calls", made);
}

/** Gates share the responses to verification queries: three gates send few more
 * queries than one. */
Test(storeupdates, gates_share_verification_responses)
{
  const PlatformFleet fleet({ .mGates = 3, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  Pause(1500);
  const int before = StoreCalls(fleet);
  Pause(6000);
  const int made = StoreCalls(fleet) - before;
  cr_expect(made >= 5 && made <= 2 * 13, "%d calls", made);
}

/** Half of six gates query the store for changes; the others receive updates
 * from them and must comply as well. */
Test(storeupdates,
     gates_act_on_a_peers_update_of_a_leaving_upstream,
     .timeout = 60)
{
  constexpr size_t kGates = 6;
  const PlatformFleet fleet(
    { .mWorkers = 2, .mGates = kGates, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  fleet.ListAs("i-2", fleet.WorkerAddress(1));
  Pause(1500);
  const int before = StoreCalls(fleet);
  fleet.List(0, "draining");
  Pause(1000);
  cr_expect(StoreCalls(fleet) - before < 20, "%d", StoreCalls(fleet) - before);
  Pause(1000);
  const size_t runs = fleet.Runs(0).size();
  for (size_t each = 0; each < 20 * kGates; ++each) {
    cr_expect(fleet.Call({}, each % kGates).mStatus == 200);
  }
  cr_expect(fleet.Runs(0).size() == runs);
}

/** Measured: 5 calls; 17 when list changes were gathered for 200 ms and
 * policies not at all. */
Test(storeupdates, many_changes_cost_few_calls)
{
  const PlatformFleet fleet;
  Pause(700);
  const int before = StoreCalls(fleet);
  constexpr int kChanges = 30;
  for (int each = 0; each < kChanges; ++each) {
    fleet.ListAs("n-" + std::to_string(each), fleet.WorkerAddress(0));
    if (each % 3 == 0) {
      fleet.PutPolicy(PlatformFleet::MakePolicy(10 + each, { "key-3" }));
    }
    Pause(50);
  }
  const int made = StoreCalls(fleet) - before;
  cr_expect(made < 10, "%d calls", made);
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-1") == 401; }, Millis(1000)));
}
