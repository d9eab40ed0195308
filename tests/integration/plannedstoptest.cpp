#include "await.h"
#include "fleet.h"
#include "httpcall.h"
#include "verdict.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <sys/wait.h>
#include <thread>

using namespace integration;
using nlohmann::json;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

using Calls = std::vector<std::unique_ptr<OpenCall>>;

FleetOptions
TwoEnginesAndEntries()
{
  return { .mEngines = 2, .mEntries = 2 };
}

Calls
SendMany(Fleet& aFleet, size_t aCount, size_t aTokens, size_t aEntry)
{
  Calls calls;
  for (size_t i = 0; i < aCount; ++i) {
    calls.push_back(
      aFleet.Send(OnceRequest("drafting", aTokens, i % 2 == 0), aEntry));
  }
  return calls;
}

void
ExpectComplete(const Calls& aCalls)
{
  for (const auto& call : aCalls) {
    const CallRecord record = call->AwaitEnd();
    cr_expect(record.mOutcome == CallOutcome::Complete,
              "%s %s",
              Name(record.mOutcome).c_str(),
              record.mKind.c_str());
  }
}

/** Makes an upstream leave. */
using StartLeaving = std::function<void(Fleet&, UpstreamHost&)>;

/**
 * Makes an upstream leave under steady traffic: its running requests must
 * finish, and it must start none later than three seconds after.
 */
void
CheckLeaving(const StartLeaving& aStartLeaving)
{
  constexpr int64_t kMaxStartDelay = 3000;
  Fleet fleet(TwoEnginesAndEntries());
  const Calls running = SendMany(fleet, 8, 300, 0);
  cr_assert(running.front()->AwaitBytes(300));
  const std::string name =
    fleet.Executions(running.front()->Mark()).front().mUpstream;
  aStartLeaving(fleet, fleet.Upstream(name == "engine-1" ? 0 : 1));
  const int64_t leaveTime = trefoilio::MonotonicNow().Count();
  Calls later;
  while (trefoilio::MonotonicNow().Count() <
         leaveTime + kMaxStartDelay + 1500) {
    later.push_back(fleet.Send(ChatRequest("mid-call", 5), later.size() % 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ExpectComplete(running);
  ExpectComplete(later);
  int64_t lastStart = 0;
  for (const ExecutionRecord& execution : fleet.Executions()) {
    if (execution.mUpstream == name) {
      lastStart = std::max(lastStart, execution.mStartTime);
    }
  }
  criterion_info("last start %ld ms after", lastStart - leaveTime);
  cr_assert(
    lastStart <= leaveTime + kMaxStartDelay, "%ld ms", lastStart - leaveTime);
}

} // namespace

Test(plannedstop, of_an_entry_cuts_no_answer)
{
  Fleet fleet(TwoEnginesAndEntries());
  const Calls running = SendMany(fleet, 10, 400, 0);
  for (const auto& call : running) {
    cr_assert(Await([&] { return fleet.RunsOf(call->Mark()) == 1; }));
  }
  const std::string url = fleet.EntryUrl();
  fleet.Entry().Signal(SIGTERM);
  cr_assert(Await([&] {
    const auto reply = CallHttp("POST",
                                url + "/v1/chat/completions",
                                "{}",
                                { { "X-Trefoilarch-Workspace", "public" } });
    return reply.mStatus == 0 ||
           reply.mBody.find("shutting_down") != std::string::npos;
  }));
  ExpectComplete(running);
  cr_assert(Await([&] { return fleet.Entry().HasEnded(); }));
  cr_assert(WIFEXITED(fleet.Entry().Status()) &&
            WEXITSTATUS(fleet.Entry().Status()) == 0);
  for (const auto& call : running) {
    cr_expect(fleet.RunsOf(call->Mark()) == 1);
  }
}

Test(plannedstop, of_a_sidecar_cuts_no_answer)
{
  Fleet fleet(TwoEnginesAndEntries());
  const Calls running = SendMany(fleet, 10, 400, 0);
  for (const auto& call : running) {
    cr_assert(Await([&] { return fleet.RunsOf(call->Mark()) == 1; }));
  }
  fleet.Upstream().mSidecar->Signal(SIGTERM);
  Calls later;
  for (int i = 0; i < 20; ++i) {
    later.push_back(fleet.Send(OnceRequest("mid-call", 5), i % 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  ExpectComplete(running);
  ExpectComplete(later);
  ChildProcess& sidecar = *fleet.Upstream().mSidecar;
  cr_assert(Await([&] { return sidecar.HasEnded(); }));
  cr_assert(WIFEXITED(sidecar.Status()) && WEXITSTATUS(sidecar.Status()) == 0);
}

Test(plannedstop, leaving_by_the_platforms_host_list)
{
  CheckLeaving([](Fleet& aFleet, UpstreamHost& aHost) {
    aHost.mState = "leaving";
    aFleet.PublishHosts();
  });
}

Test(plannedstop, leaving_by_the_sidecars_report_while_the_list_lags)
{
  CheckLeaving([](Fleet& aFleet, UpstreamHost& aHost) {
    aFleet.PlatformControl({ { "host_lag_ms", 60000 } });
    const auto reply = CallHttp("POST", aHost.OperatorUrl() + "/drain");
    cr_assert(reply.mStatus == 200);
  });
}

Test(plannedstop, leaving_by_an_operators_drain)
{
  CheckLeaving([](Fleet& aFleet, UpstreamHost& aHost) {
    const json changed = aFleet.ChangePolicy(
      { { { "op", "drain" }, { "upstream", aHost.mName } } });
    cr_assert(changed["status"] == 200, "%s", changed.dump().c_str());
  });
}
