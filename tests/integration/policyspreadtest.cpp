#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <csignal>
#include <future>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;

namespace {

/** The target is two seconds; the rest allows for a busy machine. */
constexpr int64_t kMaxPolicyDelay = 4000;

FleetOptions
FleetOfEntries(size_t aCount)
{
  return { .mEntries = aCount };
}

json
SetClass(const std::string& aName, int64_t aFirstToken)
{
  return json::array({ { { "op", "set_class" },
                         { "class",
                           { { "name", aName },
                             { "tier", 2 },
                             { "floor", 0.01 },
                             { "first_token_ms", aFirstToken },
                             { "between_token_ms", 100 },
                             { "deadline_ms", 30000 },
                             { "idempotent", true } } } } });
}

json
Propose(const Fleet& aFleet,
        size_t aEntry,
        const std::string& aId,
        const json& aOperations,
        const json& aBase = nullptr)
{
  return PostJson(aFleet.OperatorUrl(aEntry) + "/v1/policy/changes",
                  { { "id", aId },
                    { "author", "test" },
                    { "base_version", aBase },
                    { "operations", aOperations } });
}

/** The first-token target of a class at an entry; 0 without such a class. */
int64_t
FirstTokenTargetAt(const Fleet& aFleet, size_t aEntry, const std::string& aName)
{
  const json policy = GetJson(aFleet.OperatorUrl(aEntry) + "/v1/policy");
  for (const json& item : policy.value("classes", json::array())) {
    if (item["name"] == aName) {
      return item["first_token_ms"].get<int64_t>();
    }
  }
  return 0;
}

size_t
CountInHistory(const Fleet& aFleet, const std::string& aId)
{
  const json history =
    GetJson(aFleet.OperatorUrl() + "/v1/policy/changes?after=0&limit=1000");
  size_t count = 0;
  for (const json& change : history["changes"]) {
    count += change["id"] == aId ? 1 : 0;
  }
  return count;
}

void
SetPlatform(const Fleet& aFleet, const json& aFaults)
{
  aFleet.PlatformControl({ { "table", aFaults }, { "objects", aFaults } });
}

} // namespace

Test(policyspread, a_change_is_in_force_everywhere_within_seconds)
{
  Fleet fleet(FleetOfEntries(4));
  for (int round = 1; round <= 3; ++round) {
    const json changed = fleet.ChangePolicy(SetClass("new", round), 1);
    cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
    const int64_t accepted = trefoilio::MonotonicNow().Count();
    for (size_t entry = 0; entry < 4; ++entry) {
      cr_assert(Await(
        [&] { return FirstTokenTargetAt(fleet, entry, "new") == round; }));
    }
    const int64_t delay = trefoilio::MonotonicNow().Count() - accepted;
    criterion_info("in force at 4 entries after %ld ms", delay);
    cr_assert(delay <= kMaxPolicyDelay, "%ld ms", delay);
  }
  const auto call = fleet.Send(ChatRequest("new", 5), 3);
  cr_assert(call->AwaitEnd().mOutcome == CallOutcome::Complete);
}

Test(policyspread, of_racing_operators_one_wins_and_the_other_gets_a_conflict)
{
  Fleet fleet(FleetOfEntries(2));
  cr_assert(fleet.ChangePolicy(SetClass("raced", 1))["status"] == 200);
  for (int round = 0; round < 10; ++round) {
    cr_assert(
      Await([&] { return fleet.PolicyVersion(0) == fleet.PolicyVersion(1); }));
    const uint64_t base = fleet.PolicyVersion();
    const auto race = [&](size_t aEntry) {
      const int64_t target = 100 * (round + 1) + static_cast<int64_t>(aEntry);
      const std::string id =
        "race-" + std::to_string(round) + "-" + std::to_string(aEntry);
      return Propose(fleet, aEntry, id, SetClass("raced", target), base);
    };
    auto first = std::async(std::launch::async, race, 0);
    auto second = std::async(std::launch::async, race, 1);
    const json answers[] = { first.get(), second.get() };
    const size_t winner = answers[0]["status"] == 200 ? 0 : 1;
    const json& loser = answers[1 - winner];
    cr_assert(answers[winner]["status"] == 200 && loser["status"] == 409,
              "%s / %s",
              answers[0].dump().c_str(),
              answers[1].dump().c_str());
    cr_assert(loser["body"]["conflicts"][0]["object"] == "class/raced",
              "%s",
              loser.dump().c_str());
    const int64_t winningTarget =
      100 * (round + 1) + static_cast<int64_t>(winner);
    for (size_t entry = 0; entry < 2; ++entry) {
      cr_assert(Await([&] {
        return FirstTokenTargetAt(fleet, entry, "raced") == winningTarget;
      }));
    }
  }
}

Test(policyspread, a_change_with_a_lost_response_is_resolved_and_applied_once)
{
  Fleet fleet(FleetOfEntries(2));
  for (int round = 0; round < 4; ++round) {
    SetPlatform(fleet,
                { { "mode", "lose_answers" },
                  { "probability", round % 2 == 0 ? 1.0 : 0.5 },
                  { "seed", round } });
    const std::string id = "lost-" + std::to_string(round);
    const json answer = Propose(fleet, 0, id, SetClass("lost", 10 + round));
    SetPlatform(fleet, { { "mode", "up" } });
    json outcome;
    cr_assert(Await([&] {
      outcome = GetJson(fleet.OperatorUrl() + "/v1/policy/changes/" + id);
      return outcome.is_object() && outcome.contains("status") &&
             outcome["status"] != "unknown";
    }));
    const bool accepted = outcome["status"] == "accepted";
    if (answer["status"] == 200) {
      cr_assert(accepted, "%s", outcome.dump().c_str());
    }
    if (answer["body"].contains("error")) {
      cr_assert(!accepted, "%s", answer.dump().c_str());
    }
    cr_assert(CountInHistory(fleet, id) == (accepted ? 1 : 0));
  }
}

Test(policyspread, an_outage_refuses_changes_and_stops_no_traffic)
{
  Fleet fleet(FleetOfEntries(2));
  cr_assert(fleet.ChangePolicy(SetClass("kept", 7))["status"] == 200);
  SetPlatform(fleet, { { "mode", "down" } });
  const json refused = Propose(fleet, 0, "in-outage", SetClass("kept", 8));
  cr_assert(refused["status"] == 503, "%s", refused.dump().c_str());
  cr_assert(refused["body"]["error"]["kind"] == "platform_unavailable" ||
              refused["body"]["status"] == "unknown",
            "%s",
            refused.dump().c_str());
  for (int i = 0; i < 10; ++i) {
    const auto call = fleet.Send(ChatRequest("mid-call", 5), i % 2);
    cr_assert(call->AwaitEnd().mOutcome == CallOutcome::Complete);
  }
  SetPlatform(fleet, { { "mode", "up" } });
  cr_assert(Await([&] {
    return Propose(fleet, 0, "after-outage", SetClass("kept", 9))["status"] ==
           200;
  }));
  if (refused["body"].contains("error")) {
    cr_assert(CountInHistory(fleet, "in-outage") == 0);
  }
  cr_assert(Await([&] { return FirstTokenTargetAt(fleet, 1, "kept") == 9; }));
}

Test(policyspread, a_frozen_entry_never_reverts_and_catches_up_when_resumed)
{
  Fleet fleet(FleetOfEntries(2));
  cr_assert(fleet.ChangePolicy(SetClass("kept", 1))["status"] == 200);
  cr_assert(Await([&] { return FirstTokenTargetAt(fleet, 1, "kept") == 1; }));
  fleet.Entry(1).Signal(SIGSTOP);
  for (int i = 2; i <= 5; ++i) {
    cr_assert(fleet.ChangePolicy(SetClass("kept", i))["status"] == 200);
  }
  fleet.Entry(1).Signal(SIGCONT);
  const int64_t resumedAt = trefoilio::MonotonicNow().Count();
  uint64_t highest = 0;
  cr_assert(Await([&] {
    const uint64_t version = fleet.PolicyVersion(1);
    cr_assert(version >= highest);
    highest = version;
    return FirstTokenTargetAt(fleet, 1, "kept") == 5;
  }));
  const int64_t delay = trefoilio::MonotonicNow().Count() - resumedAt;
  criterion_info("caught up %ld ms after SIGCONT", delay);
  cr_assert(delay <= kMaxPolicyDelay, "%ld ms", delay);
  cr_assert(FirstTokenTargetAt(fleet, 0, "kept") == 5);
}

Test(policyspread, a_fresh_entry_in_an_outage_gets_the_policy_from_its_peers)
{
  Fleet fleet(FleetOfEntries(2));
  cr_assert(fleet.ChangePolicy(SetClass("kept", 3))["status"] == 200);
  cr_assert(Await([&] { return FirstTokenTargetAt(fleet, 1, "kept") == 3; }));
  SetPlatform(fleet, { { "mode", "down" } });
  fleet.AddEntry();
  cr_assert(fleet.AwaitReady(2));
  cr_assert(FirstTokenTargetAt(fleet, 2, "kept") == 3);
  const auto call = fleet.Send(ChatRequest("mid-call", 5), 2);
  cr_assert(call->AwaitEnd().mOutcome == CallOutcome::Complete);
}

Test(policyspread, a_restarted_entry_has_the_newest_policy)
{
  Fleet fleet(FleetOfEntries(2));
  for (int i = 1; i <= 3; ++i) {
    cr_assert(fleet.ChangePolicy(SetClass("kept", i))["status"] == 200);
  }
  fleet.Entry(0).Kill();
  fleet.RestartEntry(0);
  cr_assert(fleet.AwaitReady(0));
  cr_assert(FirstTokenTargetAt(fleet, 0, "kept") == 3);
}

Test(policyspread, an_invalid_change_names_the_field)
{
  Fleet fleet(FleetOfEntries(1));
  json operations = SetClass("bad", 5);
  operations[0]["class"]["tier"] = 9;
  const json answer = fleet.ChangePolicy(operations);
  cr_assert(answer["status"] == 422, "%s", answer.dump().c_str());
  cr_assert(answer["body"]["faults"][0]["field"].get<std::string>().find(
              "tier") != std::string::npos,
            "%s",
            answer.dump().c_str());
  operations = SetClass("bad", 5);
  operations[0]["class"]["colour"] = "red";
  const json unknown = fleet.ChangePolicy(operations);
  cr_assert(unknown["status"] == 422 &&
              unknown["body"].dump().find("colour") != std::string::npos,
            "%s",
            unknown.dump().c_str());
}
