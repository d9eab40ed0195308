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
Label(const std::string& aValue)
{
  return json::array({ { { "op", "set_upstream_labels" },
                         { "upstream", "spare" },
                         { "labels", { { "note", aValue } } } } });
}

json
Mode(const char* aService, const char* aMode)
{
  return { { aService,
             { { "mode", aMode },
               { "delay_ms", 300 },
               { "probability", 1.0 },
               { "seed", 1 } } } };
}

bool
InForce(const Fleet& aFleet, size_t aEntry, uint64_t aVersion)
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

/** Changes go on, and reach the other entry, with the service in that mode. */
void
CheckChangesGoOn(const char* aService, const char* aMode)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(Mode(aService, aMode));
  const uint64_t before = fleet.PolicyVersion(0);
  const json changed = fleet.ChangePolicy(Label("one"));
  cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
  cr_assert(changed["body"]["version"] == before + 1);
  cr_assert(InForce(fleet, 1, before + 1));
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
    cr_assert(InForce(fleet, entry, changed["body"]["version"]));
    const auto call = fleet.Send(ChatRequest("drafting", 5), entry);
    cr_assert(call->AwaitEnd().mOutcome != CallOutcome::Complete);
    cr_assert(fleet.RunsOf(call->Mark()) == 0);
  }
}

Test(policy, of_two_racing_operators_one_is_told_of_the_other)
{
  Fleet fleet(TwoEntries());
  const uint64_t base = fleet.PolicyVersion(0);
  cr_assert(InForce(fleet, 1, base));
  json first;
  json second;
  std::thread other(
    [&] { second = fleet.ChangePolicy(Label("two"), 1, base); });
  first = fleet.ChangePolicy(Label("one"), 0, base);
  other.join();
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

Test(policy, history_and_questions_tell_what_became_of_a_change)
{
  Fleet fleet(TwoEntries());
  const json changed = fleet.ChangePolicy(Label("one"));
  const std::string base = fleet.OperatorUrl(1) + "/v1/policy/changes";
  const json asked =
    GetJson(base + "/" + changed["body"]["id"].get<std::string>());
  cr_assert(asked["status"] == "accepted");
  cr_assert(asked["version"] == changed["body"]["version"]);
  cr_assert(GetJson(base + "/never-sent")["status"] == "not_accepted");
  // What was told "not accepted" is never accepted afterwards.
  const json late = PostJson(base,
                             { { "id", "never-sent" },
                               { "author", "test" },
                               { "operations", Label("late") } });
  cr_assert(late["status"] == 409, "%s", late.dump().c_str());
  const json history = GetJson(base + "?after=0")["changes"];
  cr_assert(history.at(0)["version"] == 1);
  cr_assert(history.at(1)["author"] == "test");
  cr_assert(history.at(1)["unix_seconds"] > 0);
}

Test(policyoutage, table_slow)
{
  CheckChangesGoOn("table", "slow");
}

/** Three answers in ten are lost: every change is still settled. */
Test(policyoutage, table_loses_answers)
{
  Fleet fleet(TwoEntries());
  json mode = Mode("table", "lose_answers");
  mode["table"]["probability"] = 0.3;
  fleet.PlatformControl(mode);
  uint64_t version = fleet.PolicyVersion(0);
  for (int change = 0; change < 10; ++change) {
    const json changed = fleet.ChangePolicy(Label(std::to_string(change)));
    cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
    cr_assert(changed["body"]["version"] == ++version);
  }
  cr_assert(InForce(fleet, 1, version));
  CheckAnswered(fleet, 1);
}

Test(policyoutage, objects_slow)
{
  CheckChangesGoOn("objects", "slow");
}

Test(policyoutage, objects_down)
{
  CheckChangesGoOn("objects", "down");
}

Test(policyoutage, objects_lose_answers)
{
  CheckChangesGoOn("objects", "lose_answers");
}

Test(policyoutage, hostlist_slow)
{
  CheckChangesGoOn("hostlist", "slow");
}

Test(policyoutage, hostlist_down)
{
  CheckChangesGoOn("hostlist", "down");
}

Test(policyoutage, hostlist_loses_answers)
{
  CheckChangesGoOn("hostlist", "lose_answers");
}

Test(policyoutage, table_down)
{
  Fleet fleet(TwoEntries());
  const uint64_t before = fleet.PolicyVersion(0);
  fleet.PlatformControl(Mode("table", "down"));
  CheckAnswered(fleet, 0);
  const json refused = fleet.ChangePolicy(Label("one"));
  cr_assert(refused["status"] == 503, "%s", refused.dump().c_str());
  cr_assert(refused["body"]["error"]["kind"] == "platform_unavailable");
  cr_assert(refused["body"]["error"]["ran"] == "no");
  CheckAnswered(fleet, 1);
  fleet.PlatformControl(Mode("table", "up"));
  const json accepted = fleet.ChangePolicy(Label("two"));
  cr_assert(accepted["status"] == 200, "%s", accepted.dump().c_str());
  cr_assert(accepted["body"]["version"] == before + 1);
  cr_assert(InForce(fleet, 1, before + 1));
}

Test(policyoutage, a_fresh_entry_gets_the_policy_from_its_peers)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(Mode("table", "down"));
  fleet.PlatformControl(Mode("objects", "down"));
  fleet.AddEntry();
  cr_assert(fleet.AwaitReady(2));
  cr_assert(fleet.PolicyVersion(2) == fleet.PolicyVersion(0));
  CheckAnswered(fleet, 2);
}

Test(policyoutage, with_no_policy_and_no_peer_an_entry_is_not_ready)
{
  Fleet fleet(TwoEntries());
  fleet.PlatformControl(Mode("table", "down"));
  fleet.PlatformControl(Mode("objects", "down"));
  fleet.Entry(0).Kill();
  fleet.Entry(1).Kill();
  fleet.AddEntry();
  fleet.Entry(2).Address("operator");
  const auto ready = [&] {
    return CallHttp("GET", fleet.OperatorUrl(2) + "/readyz").mStatus;
  };
  cr_assert(Await([&] { return ready() == 503; }));
  fleet.PlatformControl(Mode("table", "up"));
  cr_assert(fleet.AwaitReady(2));
}

Test(policy, nothing_reverts_when_every_entry_is_replaced)
{
  Fleet fleet(TwoEntries());
  uint64_t version = 0;
  for (int change = 0; change < 110; ++change) {
    const json changed = fleet.ChangePolicy(Label(std::to_string(change)));
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
