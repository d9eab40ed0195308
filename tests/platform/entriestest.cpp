#include "platformfleet.h"

#include "integration/await.h"

#include <criterion/criterion.h>

using namespace platformtest;
using integration::Await;
using nlohmann::json;

namespace {

/** The gate has said so of that upstream. */
bool
HasSaid(const PlatformFleet& aFleet,
        const std::string& aEvent,
        const std::string& aUpstream)
{
  for (const json& line : aFleet.LogOf(0, aEvent)) {
    if (line.at("upstream") == aUpstream) {
      return true;
    }
  }
  return false;
}

/** The addresses that the gate's last word on the others counts. */
size_t
PeersOf(const PlatformFleet& aFleet, size_t aGate)
{
  const auto lines = aFleet.LogOf(aGate, "peers");
  return lines.empty() ? 0 : lines.back().at("listed").get<size_t>();
}

} // namespace

/** A worker that crashed is back under the id that it had, at its address:
 * kept connections lead nowhere, and what ran there is not known. */
Test(entries, a_worker_that_starts_again_under_its_id_serves_at_once)
{
  PlatformFleet fleet({ .mWorkers = 2 });
  const std::string address = fleet.WorkerAddress(0);
  fleet.PutRow("servers", "i-0", PlatformFleet::EntryOf(address, 1000, 9));
  cr_assert(Await([&] { return HasSaid(fleet, "upstream_listed", "i-0"); }));
  cr_expect(fleet.Call({ .mId = "before" }).mStatus == 200);
  fleet.PutRow("servers", "i-0", PlatformFleet::EntryOf(address, 5000, 1));
  cr_assert(
    Await([&] { return HasSaid(fleet, "upstream_started_again", "i-0"); }));
  for (int each = 0; each < 10; ++each) {
    const std::string id = "after" + std::to_string(each);
    cr_expect(fleet.Call({ .mId = id, .mMethod = "POST", .mPath = "/once/x" })
                .mStatus == 200);
    cr_expect(fleet.RunsOf(id).size() == 1);
  }
}

Test(entries, what_other_writers_leave_in_the_store_stops_nothing)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  const json broken[] = { json("no object"),
                          json::array({ 1, 2 }),
                          json::object(),
                          { { "service", 7 }, { "address", "127.0.0.1:1" } },
                          { { "service", "svc" }, { "state", "asleep" } },
                          json(std::string(200000, 'x')) };
  int next = 0;
  for (const json& each : broken) {
    fleet.PutRow("servers", "foreign-" + std::to_string(next++), each);
    fleet.PutRow("op", "config", each);
  }
  cr_assert(
    Await([&] { return HasSaid(fleet, "upstream_unreadable", "foreign-5"); }));
  for (int each = 0; each < 10; ++each) {
    cr_expect(fleet.Call({ .mId = std::to_string(each) }).mStatus == 200);
  }
  cr_expect(fleet.ReadyStatus(0) == 200);
  cr_expect(fleet.Metrics().find("unreadable_rows_total{table=\"servers\"}") !=
            std::string::npos);
  cr_expect(fleet.Metrics().find("unreadable_rows_total{table=\"op\"}") !=
            std::string::npos);
}

/** An entry that is overwritten names no worker, until its worker writes. */
Test(entries, an_overwritten_entry_names_no_worker_until_it_is_mended)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.PutRow("servers", "i-0", json("scribble"));
  cr_assert(
    Await([&] { return HasSaid(fleet, "upstream_unreadable", "i-0"); }));
  for (int each = 0; each < 10; ++each) {
    const std::string id = "gone" + std::to_string(each);
    cr_expect(fleet.Call({ .mId = id }).mStatus == 200);
    cr_expect(fleet.RunsOf(id).at(0).at("worker") == 1);
  }
  fleet.List(0);
  cr_expect(Await([&] {
    const std::string id = "back" + std::to_string(rand());
    fleet.Call({ .mId = id });
    return fleet.RunsOf(id).at(0).at("worker") == 0;
  }));
}

/** Gates find each other in the store, and again after one starts anew. */
Test(entries, gates_find_each_other)
{
  PlatformFleet fleet({ .mGates = 3, .mPeers = true });
  for (size_t each = 0; each < 3; ++each) {
    cr_expect(Await([&] { return PeersOf(fleet, each) == 2; }), "%zu", each);
  }
  fleet.RestartGate(1);
  cr_expect(Await([&] { return PeersOf(fleet, 1) == 2; }));
  // The row that it has written since leads to its new port.
  cr_expect(Await([&] { return PeersOf(fleet, 0) == 2; }));
}

/** What one gate was sent makes the other send the session's next request to
 * the same engine, in a service of many. */
Test(entries, a_session_is_known_to_the_gate_that_did_not_serve_it)
{
  PlatformFleet fleet({ .mWorkers = 6, .mGates = 2, .mPeers = true });
  for (size_t each = 0; each < 2; ++each) {
    cr_assert(Await([&] { return PeersOf(fleet, each) == 1; }));
  }
  const trefoilio::HttpHeaders prompt = {
    { "X-Model", "m" },
    { "X-Token-Usage", "9000,20" },
    { "X-Prompt-Prefix", "a1:5000,b2:2000,c3:2000" },
  };
  const auto run = [&](const std::string& aId, size_t aGate) {
    cr_expect(fleet.Call({ .mId = aId, .mHeaders = prompt }, aGate).mStatus ==
              200);
    return fleet.RunsOf(aId).at(0).at("worker").get<size_t>();
  };
  const size_t first = run("first", 0);
  cr_expect(
    Await([&] { return run("next" + std::to_string(rand()), 1) == first; }));
}
