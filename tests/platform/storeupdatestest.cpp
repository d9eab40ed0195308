#include "platformfleet.h"

#include "integration/await.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

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

/** Calls that the store has had, the test's own orders aside. */
int
CallsOf(const PlatformFleet& aFleet)
{
  return aFleet.Control(nlohmann::json::object()).at("calls").get<int>();
}

} // namespace

Test(beliefs, a_policy_is_in_force_soon_and_never_goes_back)
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

Test(beliefs, a_key_is_honoured_no_longer_than_its_revocation_may_take)
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

Test(beliefs, a_key_is_not_honoured_after_the_process_stood_still)
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

Test(beliefs, dropped_history_is_read_as_a_whole)
{
  const PlatformFleet fleet;
  fleet.Control({ { "fault", "down" } });
  fleet.PutPolicy(PlatformFleet::MakePolicy(4, { "key-4" }));
  fleet.Control({ { "drop_history", true } });
  fleet.Control({ { "fault", "up" } });
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-4") == 200; }, Millis(3000)));
}

Test(beliefs, a_leaving_upstream_gets_no_new_work)
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
 * Callers' requests were served by an upstream that had said it leaves, for
 * seconds. In order: upstreams came and went, each entry read the changes and
 * asked for the next ones; the store had just fallen silent and never answered
 * that question, though it served new ones a second later; an upstream left.
 * The cause: the age of an entry's copy had no bound of its own, and a question
 * that may be held back for ten seconds was taken for a promise that nothing
 * had changed. The evidence: all entries told of the loss of the store 10.8 s
 * after the last changes they had read, at the same moment, and had read no
 * row of the upstream in between.
 */
Test(beliefs, a_question_that_is_never_answered_hides_no_leaving_upstream)
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

Test(beliefs, entries_that_lapse_with_the_store_are_kept_until_it_is_back)
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

Test(beliefs, an_entry_still_missing_after_the_outage_is_gone)
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

Test(beliefs, a_gate_is_not_ready_before_it_has_policy_and_list)
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

/** A gate that hears no other asks for a proof once in half a second to a
 * second, which serves all tables while nothing changes, and for changes once
 * in 25 s. */
Test(beliefs, the_store_is_asked_no_more_than_planned)
{
  const PlatformFleet fleet;
  const int before = CallsOf(fleet);
  Pause(6000);
  const int made = CallsOf(fleet) - before;
  cr_expect(made >= 5 && made <= 13 + 2, "%d calls", made);
}

/** One gate's proof serves the others: three of them ask little more than one
 * alone. */
Test(beliefs, gates_that_hear_each_other_share_their_proofs)
{
  const PlatformFleet fleet({ .mGates = 3, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  Pause(1500);
  const int before = CallsOf(fleet);
  Pause(6000);
  const int made = CallsOf(fleet) - before;
  cr_expect(made >= 5 && made <= 2 * 13, "%d calls", made);
}

/** Half of six gates ask the store for changes; the others are told, and are
 * bound all the same. */
Test(beliefs, gates_that_are_told_of_a_leaving_upstream_obey, .timeout = 60)
{
  constexpr size_t kGates = 6;
  const PlatformFleet fleet(
    { .mWorkers = 2, .mGates = kGates, .mPeers = true });
  cr_assert(fleet.AwaitPeers());
  fleet.ListAs("i-2", fleet.WorkerAddress(1));
  Pause(1500);
  const int before = CallsOf(fleet);
  fleet.List(0, "draining");
  Pause(1000);
  cr_expect(CallsOf(fleet) - before < 20, "%d", CallsOf(fleet) - before);
  Pause(1000);
  const size_t runs = fleet.Runs(0).size();
  for (size_t each = 0; each < 20 * kGates; ++each) {
    cr_expect(fleet.Call({}, each % kGates).mStatus == 200);
  }
  cr_expect(fleet.Runs(0).size() == runs);
}

/** Measured: 5 calls; 17 while lists were gathered for 200 ms and policies not
 * at all. */
Test(beliefs, changes_in_numbers_cost_few_calls)
{
  const PlatformFleet fleet;
  Pause(700);
  const int before = CallsOf(fleet);
  constexpr int kChanges = 30;
  for (int each = 0; each < kChanges; ++each) {
    fleet.ListAs("n-" + std::to_string(each), fleet.WorkerAddress(0));
    if (each % 3 == 0) {
      fleet.PutPolicy(PlatformFleet::MakePolicy(10 + each, { "key-3" }));
    }
    Pause(50);
  }
  const int made = CallsOf(fleet) - before;
  cr_expect(made < 10, "%d calls", made);
  cr_expect(
    Await([&] { return StatusFor(fleet, "key-1") == 401; }, Millis(1000)));
}
