#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include <criterion/criterion.h>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

const json kDown = { { "mode", "down" } };
const json kSlow = { { "mode", "slow" }, { "delay_ms", 3000 } };
const json kLossy = { { "mode", "lose_answers" }, { "probability", 1.0 } };

json
Drain(const char* aOperation)
{
  return json::array({ { { "op", aOperation }, { "upstream", "engine-2" } } });
}

/**
 * Checks one row of the operators' outage table. While the service fails,
 * requests without a key complete and the entries stay ready. After it, a
 * policy change is accepted and comes into force at both entries.
 */
void
CheckOutage(const char* aService, const json& aFaults)
{
  Fleet fleet({ .mEngines = 2, .mEntries = 2 });
  fleet.PlatformControl({ { aService, aFaults } });
  for (int i = 0; i < 30; ++i) {
    const auto call = fleet.Send(ChatRequest("mid-call", 5), i % 2);
    const CallRecord record = call->AwaitEnd();
    cr_assert(record.mOutcome == CallOutcome::Complete,
              "%s %s: %s",
              aService,
              aFaults.dump().c_str(),
              record.mKind.c_str());
  }
  for (size_t entry = 0; entry < 2; ++entry) {
    cr_assert(CallHttp("GET", fleet.OperatorUrl(entry) + "/readyz").mStatus ==
              200);
  }
  fleet.PlatformControl({ { aService, { { "mode", "up" } } } });
  json changed;
  cr_assert(Await([&] {
    changed = fleet.ChangePolicy(Drain("drain"));
    return changed["status"] == 200;
  }));
  const uint64_t version = changed["body"]["version"].get<uint64_t>();
  for (size_t entry = 0; entry < 2; ++entry) {
    cr_assert(Await([&] { return fleet.PolicyVersion(entry) >= version; }));
  }
}

} // namespace

Test(outage, table_down)
{
  CheckOutage("table", kDown);
}

Test(outage, table_slow)
{
  CheckOutage("table", kSlow);
}

Test(outage, table_loses_answers)
{
  CheckOutage("table", kLossy);
}

Test(outage, objects_down)
{
  CheckOutage("objects", kDown);
}

Test(outage, objects_slow)
{
  CheckOutage("objects", kSlow);
}

Test(outage, objects_lose_answers)
{
  CheckOutage("objects", kLossy);
}

Test(outage, host_list_down)
{
  CheckOutage("hostlist", kDown);
}

Test(outage, host_list_slow)
{
  CheckOutage("hostlist", kSlow);
}

Test(outage, host_list_loses_answers)
{
  CheckOutage("hostlist", kLossy);
}

Test(outage, a_keyed_request_in_a_table_outage_is_refused_as_not_run)
{
  Fleet fleet({});
  fleet.PlatformControl({ { "table", kDown } });
  const auto call = fleet.Send(OnceRequest("drafting", 10, false));
  const CallRecord record = call->AwaitEnd();
  cr_assert(record.mOutcome == CallOutcome::Refused,
            "%s %s",
            Name(record.mOutcome).c_str(),
            record.mKind.c_str());
  cr_assert(record.mKind == "claim_unsettled", "%s", record.mKind.c_str());
  cr_assert(record.mRetryAfter > 0);
  cr_assert(fleet.RunsOf(call->Mark()) == 0);
}

Test(outage, a_new_host_is_used_once_the_list_is_back)
{
  Fleet fleet({ .mEngines = 1 });
  fleet.PlatformControl({ { "hostlist", kDown } });
  fleet.AddEntry();
  fleet.PlatformControl({ { "hostlist", { { "mode", "up" } } } });
  cr_assert(fleet.AwaitReady(1));
  const auto call = fleet.Send(ChatRequest("mid-call", 5), 1);
  cr_assert(call->AwaitEnd().mOutcome == CallOutcome::Complete);
}
