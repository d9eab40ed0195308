#include "await.h"
#include "fleet.h"
#include "httpcall.h"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

using namespace integration;
using trefoilload::CallOutcome;
using trefoilload::CallRecord;

namespace {

FleetOptions
SmallFleet()
{
  return { .mEngines = 2, .mServices = 1, .mEntries = 2 };
}

} // namespace

Test(endtoend, answers_are_complete_streamed_and_not)
{
  Fleet fleet(SmallFleet());
  for (size_t entry = 0; entry < 2; ++entry) {
    const auto streamed = fleet.Send(ChatRequest("mid-call", 40), entry);
    const auto unstreamed =
      fleet.Send(ChatRequest("drafting", 60, false), entry);
    const auto nonIdempotent = fleet.Send(OnceRequest("drafting", 10), entry);
    const auto booking = fleet.Send(BookingRequest(), entry);
    for (const auto* call :
         { &streamed, &unstreamed, &nonIdempotent, &booking }) {
      const CallRecord record = (*call)->AwaitEnd();
      cr_assert(record.mOutcome == CallOutcome::Complete,
                "%s: %s",
                Name(record.mOutcome).c_str(),
                (*call)->Body().c_str());
      cr_assert(record.mRequestId.size() == 32);
      cr_assert(fleet.RunsOf((*call)->Mark()) == 1);
    }
  }
}

Test(endtoend, models_are_listed)
{
  Fleet fleet(SmallFleet());
  const auto reply = CallHttp("GET",
                              fleet.EntryUrl() + "/v1/models",
                              "",
                              { { "X-Trefoilarch-Workspace", "public" } });
  const auto body = nlohmann::json::parse(reply.mBody, nullptr, false);
  cr_assert(reply.mStatus == 200, "%s", reply.mBody.c_str());
  cr_assert(body["data"].size() == 1 && body["data"][0]["id"] == "base");
}

Test(endtoend, a_service_is_called_with_any_method)
{
  Fleet fleet(SmallFleet());
  for (const char* method : { "GET", "PUT", "DELETE", "PATCH" }) {
    const auto reply =
      CallHttp(method,
               fleet.EntryUrl() + "/v1/services/booking/seats/7?side=left",
               std::string(method) == "GET" ? "" : "body",
               { { "X-Trefoilarch-Workspace", "agents" },
                 { "Authorization", "Bearer secret-of-agents" },
                 { "X-Trefoilarch-Class", "booking" } });
    const auto body = nlohmann::json::parse(reply.mBody, nullptr, false);
    cr_assert(reply.mStatus == 200, "%s", reply.mBody.c_str());
    cr_assert(body["method"] == method && body["path"] == "/seats/7");
  }
}

Test(endtoend, many_at_once_each_get_their_own_answer)
{
  Fleet fleet(SmallFleet());
  std::vector<std::unique_ptr<OpenCall>> calls;
  for (size_t i = 0; i < 60; ++i) {
    const char* name = i % 3 == 0 ? "public-page" : "mid-call";
    calls.push_back(fleet.Send(ChatRequest(name, 5 + i, i % 4 != 0), i % 2));
  }
  for (const auto& call : calls) {
    const CallRecord record = call->AwaitEnd();
    cr_assert(record.mOutcome == CallOutcome::Complete,
              "%s: %s",
              Name(record.mOutcome).c_str(),
              call->Body().c_str());
  }
}

Test(endtoend, requests_survive_an_empty_host_list)
{
  Fleet fleet(SmallFleet());
  constexpr size_t kRunning = 8;
  std::vector<std::unique_ptr<OpenCall>> running;
  running.reserve(kRunning);
  for (size_t i = 0; i < kRunning; ++i) {
    running.push_back(fleet.Send(OnceRequest("drafting", 300, i % 2 == 0)));
  }
  cr_assert(running.front()->AwaitBytes(300));
  fleet.PlatformControl({ { "hosts", nlohmann::json::array() } });
  for (int i = 0; i < 30; ++i) {
    const auto call = fleet.Send(ChatRequest("mid-call", 5));
    const CallRecord record = call->AwaitEnd();
    cr_assert(record.mOutcome == CallOutcome::Complete ||
                record.mOutcome == CallOutcome::Refused,
              "%s %s",
              Name(record.mOutcome).c_str(),
              record.mKind.c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  cr_assert(!fleet.Entry().HasEnded());
  for (const auto& call : running) {
    cr_expect(call->AwaitEnd().mOutcome == CallOutcome::Complete,
              "in flight: %s",
              call->Record().mKind.c_str());
  }
  fleet.PublishHosts();
  cr_assert(Await([&] {
    return fleet.Send(ChatRequest("mid-call", 5))->AwaitEnd().mOutcome ==
           CallOutcome::Complete;
  }));
}
