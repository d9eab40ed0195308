#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include <criterion/criterion.h>

#include <thread>

using namespace integration;
using nlohmann::json;
using trefoilarch::Millis;
using trefoilload::CallOutcome;

namespace {

FleetOptions
TwoEntries()
{
  return { .mEngines = 1, .mEntries = 2 };
}

json
Drain(const std::string& aUpstream)
{
  return json::array({ { { "op", "drain" }, { "upstream", aUpstream } } });
}

json
SetLabel(const std::string& aValue)
{
  return json::array({ { { "op", "set_upstream_labels" },
                         { "upstream", "spare" },
                         { "labels", { { "note", aValue } } } } });
}

json
PlatformMode(const char* aService, const char* aMode)
{
  return { { aService,
             { { "mode", aMode },
               { "delay_ms", 300 },
               { "probability", 1.0 },
               { "seed", 1 } } } };
}

bool
AwaitInForce(const Fleet& aFleet, size_t aEntry, uint64_t aVersion)
{
  return Await([&] { return aFleet.PolicyVersion(aEntry) == aVersion; });
}

void
CheckAnswered(Fleet& aFleet, size_t aEntry)
{
  const auto call = aFleet.Send(ChatRequest("drafting", 5), aEntry);
  const auto record = call->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Complete,
            "%s",
            Name(record.mOutcome).c_str());
}

/** Changes are accepted and reach the other entry in that service mode. */
void
CheckChangesContinue(const char* aService, const char* aMode)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(PlatformMode(aService, aMode));
  const uint64_t before = fleet.PolicyVersion(0);
  const json changed = fleet.ChangePolicy(SetLabel("one"));
  cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
  cr_assert(changed["body"]["version"] == before + 1);
  cr_assert(AwaitInForce(fleet, 1, before + 1));
  CheckAnswered(fleet, 1);
}

} // namespace

Test(policy, a_change_is_in_force_at_every_entry)
{
  Fleet fleet(TwoEntries());
  const json changed = fleet.ChangePolicy(Drain("engine-1"));
  cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
  const auto warnings = changed["body"]["warnings"];
  cr_assert(!warnings.empty());
  for (size_t entry = 0; entry < 2; ++entry) {
    cr_assert(AwaitInForce(fleet, entry, changed["body"]["version"]));
    const auto call = fleet.Send(ChatRequest("drafting", 5), entry);
    cr_assert(call->AwaitEnd().mOutcome != CallOutcome::Complete);
    cr_assert(fleet.RunsOf(call->Mark()) == 0);
  }
}

Test(policy, of_two_racing_operators_one_gets_a_conflict)
{
  Fleet fleet(TwoEntries());
  const uint64_t base = fleet.PolicyVersion(0);
  cr_assert(AwaitInForce(fleet, 1, base));
  json first;
  json second;
  std::thread otherOperator(
    [&] { second = fleet.ChangePolicy(SetLabel("two"), 1, base); });
  first = fleet.ChangePolicy(SetLabel("one"), 0, base);
  otherOperator.join();
  const json& winner = first["status"] == 200 ? first : second;
  const json& loser = first["status"] == 200 ? second : first;
  cr_assert(winner["status"] == 200, "%s", winner.dump().c_str());
  cr_assert(loser["status"] == 409, "%s", loser.dump().c_str());
  const json& conflict = loser["body"]["conflicts"].at(0);
  cr_assert(conflict["object"] == "upstream/spare");
  cr_assert(conflict["changed_in"] == winner["body"]["version"]);
  cr_assert(conflict["by"] == "test");
}

Test(policy, a_faulty_change_names_its_field)
{
  Fleet fleet(TwoEntries());
  const json refused = fleet.ChangePolicy(
    json::array({ { { "op", "set_class" },
                    { "class", { { "name", "x" }, { "tier", 9 } } } } }));
  cr_assert(refused["status"] == 422);
  cr_assert(refused["body"]["faults"].at(0)["field"] ==
            "operations[0].class.tier");
}

Test(policy, history_and_queries_report_the_outcome_of_a_change)
{
  Fleet fleet(TwoEntries());
  const json changed = fleet.ChangePolicy(SetLabel("one"));
  const std::string base = fleet.OperatorUrl(1) + "/v1/policy/changes";
  const json outcome =
    GetJson(base + "/" + changed["body"]["id"].get<std::string>());
  cr_assert(outcome["status"] == "accepted");
  cr_assert(outcome["version"] == changed["body"]["version"]);
  cr_assert(GetJson(base + "/never-sent")["status"] == "not_accepted");
  // A change reported as "not accepted" is never accepted later.
  const json lateChange = PostJson(base,
                                   { { "id", "never-sent" },
                                     { "author", "test" },
                                     { "operations", SetLabel("late") } });
  cr_assert(lateChange["status"] == 409, "%s", lateChange.dump().c_str());
  const json history = GetJson(base + "?after=0")["changes"];
  cr_assert(history.at(0)["version"] == 1);
  cr_assert(history.at(1)["author"] == "test");
  cr_assert(history.at(1)["unix_seconds"] > 0);
}

Test(policyoutage, table_slow)
{
  CheckChangesContinue("table", "slow");
}

/** 3 of 10 responses are lost; every change still gets its outcome. */
Test(policyoutage, table_loses_answers)
{
  Fleet fleet(TwoEntries());
  json mode = PlatformMode("table", "lose_answers");
  mode["table"]["probability"] = 0.3;
  fleet.PlatformControl(mode);
  uint64_t version = fleet.PolicyVersion(0);
  for (int change = 0; change < 10; ++change) {
    const json changed = fleet.ChangePolicy(SetLabel(std::to_string(change)));
    cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
    cr_assert(changed["body"]["version"] == ++version);
  }
  cr_assert(AwaitInForce(fleet, 1, version));
  CheckAnswered(fleet, 1);
}

Test(policyoutage, objects_slow)
{
  CheckChangesContinue("objects", "slow");
}

Test(policyoutage, objects_down)
{
  CheckChangesContinue("objects", "down");
}

Test(policyoutage, objects_lose_answers)
{
  CheckChangesContinue("objects", "lose_answers");
}

Test(policyoutage, hostlist_slow)
{
  CheckChangesContinue("hostlist", "slow");
}

Test(policyoutage, hostlist_down)
{
  CheckChangesContinue("hostlist", "down");
}

Test(policyoutage, hostlist_loses_answers)
{
  CheckChangesContinue("hostlist", "lose_answers");
}

Test(policyoutage, table_down)
{
  Fleet fleet(TwoEntries());
  const uint64_t before = fleet.PolicyVersion(0);
  fleet.PlatformControl(PlatformMode("table", "down"));
  CheckAnswered(fleet, 0);
  const json refused = fleet.ChangePolicy(SetLabel("one"));
  cr_assert(refused["status"] == 503, "%s", refused.dump().c_str());
  cr_assert(refused["body"]["error"]["kind"] == "platform_unavailable");
  cr_assert(refused["body"]["error"]["ran"] == "no");
  CheckAnswered(fleet, 1);
  fleet.PlatformControl(PlatformMode("table", "up"));
  const json accepted = fleet.ChangePolicy(SetLabel("two"));
  cr_assert(accepted["status"] == 200, "%s", accepted.dump().c_str());
  cr_assert(accepted["body"]["version"] == before + 1);
  cr_assert(AwaitInForce(fleet, 1, before + 1));
}

Test(policyoutage, a_fresh_entry_gets_the_policy_from_its_peers)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(PlatformMode("table", "down"));
  fleet.PlatformControl(PlatformMode("objects", "down"));
  fleet.AddEntry();
  cr_assert(fleet.AwaitReady(2));
  cr_assert(fleet.PolicyVersion(2) == fleet.PolicyVersion(0));
  CheckAnswered(fleet, 2);
}

Test(policyoutage, with_no_policy_and_no_peer_an_entry_is_not_ready)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(PlatformMode("table", "down"));
  fleet.PlatformControl(PlatformMode("objects", "down"));
  fleet.Entry(0).Kill();
  fleet.Entry(1).Kill();
  fleet.AddEntry();
  fleet.Entry(2).Address("operator");
  const auto ready = [&] {
    return CallHttp("GET", fleet.OperatorUrl(2) + "/readyz").mStatus;
  };
  cr_assert(Await([&] { return ready() == 503; }));
  fleet.PlatformControl(PlatformMode("table", "up"));
  cr_assert(fleet.AwaitReady(2));
}

Test(policy, nothing_reverts_when_every_entry_is_replaced)
{
  Fleet fleet(TwoEntries());
  uint64_t version = 0;
  for (int change = 0; change < 110; ++change) {
    const json changed = fleet.ChangePolicy(SetLabel(std::to_string(change)));
    cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
    version = changed["body"]["version"];
  }
  fleet.Entry(0).Kill();
  fleet.Entry(1).Kill();
  fleet.RestartEntry(0);
  fleet.RestartEntry(1);
  cr_assert(fleet.AwaitReady(0));
  cr_assert(fleet.PolicyVersion(0) == version);
  const json policy = GetJson(fleet.OperatorUrl(0) + "/v1/policy");
  cr_assert(policy["upstreams"].at(0)["labels"]["note"] == "109");
}
