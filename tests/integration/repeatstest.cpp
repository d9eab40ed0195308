#include "await.h"
#include "fleet.h"
#include "verdict.h"

#include <criterion/criterion.h>

#include <random>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

using Calls = std::vector<std::unique_ptr<OpenCall>>;

FleetOptions
TwoEntries()
{
  return { .mEngines = 2, .mServices = 1, .mEntries = 2 };
}

std::string
Describe(const Calls& aCalls)
{
  std::string text;
  for (const auto& call : aCalls) {
    const CallRecord record = call->Record();
    text +=
      " " + Name(record.mOutcome) + "/" + record.mKind + "/" + record.mRan;
  }
  return text;
}

/**
 * Checks all calls with one key: at most one run; a complete response only if
 * it ran; no run if all of them were reported as not run.
 */
void
ExpectAtMostOneRun(const Fleet& aFleet, const Calls& aCalls)
{
  bool anyComplete = false;
  bool allReportedNotRun = true;
  for (const auto& call : aCalls) {
    const CallRecord record = call->AwaitEnd();
    cr_expect(record.mOutcome != CallOutcome::Open &&
                record.mOutcome != CallOutcome::Wrong,
              "%s",
              Describe(aCalls).c_str());
    anyComplete = anyComplete || record.mOutcome == CallOutcome::Complete;
    allReportedNotRun = allReportedNotRun && record.mRan == "no";
  }
  const size_t runs = aFleet.RunsOf(aCalls.front()->Mark());
  cr_expect(runs <= 1, "%zu runs:%s", runs, Describe(aCalls).c_str());
  cr_expect(!anyComplete || runs == 1, "%s", Describe(aCalls).c_str());
  cr_expect(!allReportedNotRun || runs == 0, "%s", Describe(aCalls).c_str());
}

size_t
CountComplete(const Calls& aCalls)
{
  size_t count = 0;
  for (const auto& call : aCalls) {
    count += call->Record().mOutcome == CallOutcome::Complete ? 1 : 0;
  }
  return count;
}

/** Sends a request with one idempotency key to both entries concurrently. */
Calls
SendAtOnce(Fleet& aFleet, const std::string& aMark, size_t aCount)
{
  Calls calls;
  for (size_t i = 0; i < aCount; ++i) {
    calls.push_back(
      aFleet.SendMarked(OnceRequest("drafting", 60, false), aMark, i % 2));
  }
  return calls;
}

void
SetTable(const Fleet& aFleet, const json& aFaults)
{
  aFleet.PlatformControl({ { "table", aFaults } });
}

} // namespace

Test(repeats, at_the_same_moment_at_both_entries_run_once)
{
  Fleet fleet(TwoEntries());
  for (int round = 0; round < 5; ++round) {
    const Calls calls = SendAtOnce(fleet, "key" + std::to_string(round), 6);
    ExpectAtMostOneRun(fleet, calls);
    cr_expect(CountComplete(calls) >= 1, "%s", Describe(calls).c_str());
  }
}

Test(repeats, later_get_the_first_answer_or_a_truthful_error)
{
  Fleet fleet(TwoEntries());
  Calls calls;
  for (const size_t entry : { 0, 0, 1 }) {
    calls.push_back(
      fleet.SendMarked(OnceRequest("drafting", 30, false), "key", entry));
    cr_assert(calls.back()->AwaitEnd().mOutcome != CallOutcome::Open);
  }
  ExpectAtMostOneRun(fleet, calls);
  cr_assert(calls.front()->Record().mOutcome == CallOutcome::Complete);
  for (size_t i = 1; i < calls.size(); ++i) {
    const CallRecord record = calls[i]->Record();
    cr_expect(record.mOutcome == CallOutcome::Complete ||
                record.mKind == "duplicate_finished",
              "%s",
              Describe(calls).c_str());
  }
}

Test(repeats, of_a_booking_book_once)
{
  Fleet fleet(TwoEntries());
  Calls calls;
  for (size_t i = 0; i < 6; ++i) {
    calls.push_back(fleet.SendMarked(BookingRequest(), "seat", i % 2));
  }
  ExpectAtMostOneRun(fleet, calls);
}

Test(repeats, at_another_entry_after_the_first_died)
{
  Fleet fleet(TwoEntries());
  Calls calls;
  calls.push_back(fleet.SendMarked(OnceRequest("drafting", 400), "key", 0));
  cr_assert(calls.front()->AwaitBytes(300));
  fleet.Entry(0).Kill();
  calls.push_back(fleet.SendMarked(OnceRequest("drafting", 400), "key", 1));
  ExpectAtMostOneRun(fleet, calls);
  cr_expect(calls.back()->Record().mRan != "no", "%s", Describe(calls).c_str());
}

Test(repeats, of_the_same_key_with_another_body_are_refused)
{
  Fleet fleet(TwoEntries());
  const auto first =
    fleet.SendMarked(OnceRequest("drafting", 30, false), "first", 0, {});
  cr_assert(first->AwaitEnd().mOutcome == CallOutcome::Complete);
  auto otherRequest = OnceRequest("drafting", 30, false);
  otherRequest.mIdempotent = true; // so that it sends no key of its own
  const auto second =
    fleet.SendMarked(otherRequest,
                     "second",
                     1,
                     { { "Idempotency-Key", "first" },
                       { "X-Trefoilarch-Idempotent", "false" } });
  const CallRecord record = second->AwaitEnd();
  cr_expect(record.mOutcome == CallOutcome::Refused,
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
  cr_expect(record.mKind == "invalid_request" &&
              second->Body().find("Idempotency-Key") != std::string::npos,
            "%s",
            second->Body().c_str());
  cr_expect(fleet.RunsOf("second") == 0);
}

Test(repeats, run_once_while_the_table_fails)
{
  Fleet fleet(TwoEntries());
  const std::vector<json> faults = {
    { { "mode", "slow" }, { "delay_ms", 400 } },
    { { "mode", "slow" }, { "delay_ms", 5000 } },
    { { "mode", "down" } },
    { { "mode", "lose_answers" }, { "probability", 1.0 } },
    { { "mode", "lose_answers" }, { "probability", 0.5 }, { "seed", 7 } },
  };
  for (size_t i = 0; i < faults.size(); ++i) {
    SetTable(fleet, faults[i]);
    const std::string mark = "key" + std::to_string(i);
    Calls calls = SendAtOnce(fleet, mark, 4);
    for (const auto& call : calls) {
      call->AwaitEnd();
    }
    SetTable(fleet, { { "mode", "up" } });
    calls.push_back(
      fleet.SendMarked(OnceRequest("drafting", 60, false), mark, 1));
    ExpectAtMostOneRun(fleet, calls);
  }
}

Test(repeats, run_once_over_random_outages)
{
  constexpr uint64_t kSeed = 20261202;
  std::mt19937_64 random(kSeed);
  Fleet fleet(TwoEntries());
  const std::vector<json> modes = {
    { { "mode", "up" } },
    { { "mode", "down" } },
    { { "mode", "slow" }, { "delay_ms", 300 } },
    { { "mode", "lose_answers" }, { "probability", 0.5 } },
  };
  std::map<std::string, Calls> groups;
  for (int step = 0; step < 60; ++step) {
    SetTable(fleet, modes[random() % modes.size()]);
    const std::string mark = "key" + std::to_string(random() % 12);
    groups[mark].push_back(
      fleet.SendMarked(OnceRequest("drafting", 20, false), mark, random() % 2));
    if (random() % 4 == 0) {
      groups[mark].back()->AwaitEnd();
    }
  }
  SetTable(fleet, { { "mode", "up" } });
  for (const auto& [mark, calls] : groups) {
    ExpectAtMostOneRun(fleet, calls);
  }
}
