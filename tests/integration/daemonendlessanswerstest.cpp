#include "await.h"
#include "brokenanswers.h"
#include "fleet.h"
#include "httpcall.h"
#include "processmemory.h"
#include "rawcaller.h"
#include "rawupstream.h"

#include "libtrefoilio/httpclient.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using nlohmann::json;
using Socket = RawUpstream::Tcp::socket;

/** Answers without end at each reader: its process lives on within its memory,
 * and other callers are served beside it. */
namespace {

constexpr double kMaxPeakMb = 80;
constexpr size_t kCallers = 20;
constexpr std::chrono::milliseconds kRunTime{ 3000 };
constexpr std::chrono::milliseconds kNoGap{ 0 };

enum class Route
{
  Service,
  Stream,
  NoStream,
};

std::string
RequestText(Route aRoute)
{
  constexpr const char* kCaller = "Host: entry\r\n"
                                  "X-Trefoilarch-Workspace: agents\r\n"
                                  "Authorization: Bearer secret-of-agents\r\n";
  if (aRoute == Route::Service) {
    return std::string("GET /v1/services/booking/seats/7 HTTP/1.1\r\n") +
           kCaller + "\r\n";
  }
  const std::string body = std::string(R"({"model":"base","stream":)") +
                           (aRoute == Route::Stream ? "true" : "false") +
                           R"(,"messages":[{"role":"user","content":"a"}]})";
  return std::string("POST /v1/chat/completions HTTP/1.1\r\n") + kCaller +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A second upstream whose answers are sound serves beside the endless one. */
bool
IsOtherServed(Fleet& aFleet, Route aRoute)
{
  const auto call = aRoute == Route::Service
                      ? aFleet.Send(ChatRequest("mid-call", 10))
                      : aFleet.Send(BookingRequest());
  return call->AwaitEnd().mOutcome == trefoilload::CallOutcome::Complete;
}

void
ExpectBounded(const ChildProcess& aProcess, const std::string& aName)
{
  const double peak = PeakMemoryMb(aProcess.Id());
  cr_log_info("%s: %.1f MB", aName.c_str(), peak);
  cr_expect(peak > 0 && peak < kMaxPeakMb, "%s: %.1f MB", aName.c_str(), peak);
}

void
RunCallers(const EndlessAnswer& aAnswer,
           Route aRoute,
           std::chrono::milliseconds aGap,
           bool aCallersRead)
{
  Fleet fleet({ .mEngines = 1,
                .mServices = 1,
                .mEntryFlags = { "--most-answer-mb", "16" } });
  UpstreamHost& host = fleet.Upstream(aRoute == Route::Service ? 1 : 0);
  const std::string url = host.UpstreamUrl();
  host.mUpstream->Kill();
  const RawUpstream endless(
    [&](Socket& aSocket) {
      RawUpstream::Write(aSocket, aAnswer.mBegin);
      RawUpstream::WriteWithoutEnd(aSocket, aAnswer.mMore, aGap);
    },
    static_cast<uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))));
  std::vector<std::jthread> callers;
  std::atomic<bool> stop = false;
  for (size_t each = 0; each < kCallers; ++each) {
    callers.emplace_back([&] {
      const RawCaller caller(fleet.EntryUrl());
      caller.Send(RequestText(aRoute));
      while (!stop) {
        if (!aCallersRead ||
            caller.ReadAnswer("", 50).mEnd != ConnectionEnd::Open) {
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
      }
    });
  }
  const std::string name =
    aAnswer.mName + " on route " + std::to_string(static_cast<int>(aRoute));
  cr_expect(Await([&] { return endless.Requests() > 0; }), "%s", name.c_str());
  std::this_thread::sleep_for(kRunTime);
  cr_expect(IsOtherServed(fleet, aRoute), "%s, beside", name.c_str());
  stop = true;
  callers.clear();
  cr_expect_not(fleet.Entry().HasEnded());
  cr_expect_not(host.mSidecar->HasEnded());
  ExpectBounded(fleet.Entry(), name + ", entry");
  ExpectBounded(*host.mSidecar, name + ", sidecar");
}

} // namespace

Test(daemonendlessanswers, of_a_service_are_bounded, .timeout = 300)
{
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    RunCallers(answer, Route::Service, std::chrono::milliseconds(5), true);
  }
}

Test(daemonendlessanswers, of_an_engine_are_bounded, .timeout = 300)
{
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    RunCallers(answer, Route::Stream, std::chrono::milliseconds(5), true);
    RunCallers(answer, Route::NoStream, std::chrono::milliseconds(5), true);
  }
}

Test(daemonendlessanswers, at_full_speed_are_bounded, .timeout = 300)
{
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    if (answer.mName == "events" || answer.mName == "a body with a length") {
      for (const Route route :
           { Route::Service, Route::Stream, Route::NoStream }) {
        RunCallers(answer, route, kNoGap, true);
        RunCallers(answer, route, kNoGap, false);
      }
    }
  }
}

Test(daemonendlessanswers, of_the_platform_are_bounded, .timeout = 120)
{
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    const RawUpstream platform([&](Socket& aSocket) {
      RawUpstream::Write(aSocket, answer.mBegin);
      RawUpstream::WriteWithoutEnd(aSocket, answer.mMore, kNoGap);
    });
    ChildProcess entry("trefoilarchd",
                       { "--role",
                         "entry",
                         "--name",
                         "entry-1",
                         "--platform",
                         "http://" + platform.Address() });
    cr_expect(Await([&] { return platform.Requests() > 0; }));
    std::this_thread::sleep_for(kRunTime);
    cr_expect_not(entry.HasEnded());
    ExpectBounded(entry, answer.mName);
  }
}

Test(daemonendlessanswers, of_an_operator_port_are_bounded, .timeout = 200)
{
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    const RawUpstream port([&](Socket& aSocket) {
      RawUpstream::Write(aSocket, answer.mBegin);
      RawUpstream::WriteWithoutEnd(aSocket, answer.mMore, kNoGap);
    });
    ChildProcess tool("trefoilarchctl",
                      { "status", "--operator", "http://" + port.Address() });
    cr_expect(Await([&] { return port.Requests() > 0; }));
    std::this_thread::sleep_for(kRunTime);
    // The memory of a tool that has ended can't be read.
    if (!tool.HasEnded()) {
      ExpectBounded(tool, answer.mName);
    }
  }
}
