#include "../standins-2/harness.h"

#include <atomic>
#include <csignal>
#include <string>
#include <thread>

using namespace review;

namespace {

constexpr int kEvents = 150;
constexpr int kGapMs = 25;

Json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "guide" },
                 { "host", "desk.example" },
                 { "prefix", "/guide/" },
                 { "kind", "stream" },
                 { "service", "llm" },
                 { "timeoutMs", 15000 },
                 { "targetLatencyMs", 1200 },
                 { "gapAimMs", 800 },
                 { "priority", 0 },
                 { "maxAttempts", 1 } } } },
           { "services", { { { "name", "llm" }, { "maxConns", 360 } } } },
           { "limits", Json::object() },
           { "tenants",
             { { { "name", "desk" }, { "apiKeys", { "key-of-desk" } } } } } };
}

/** The number of whole events in a body. */
int
EventsIn(const std::string& aBody)
{
  int events = 0;
  for (size_t at = aBody.find("\n\n"); at != std::string::npos;
       at = aBody.find("\n\n", at + 2)) {
    events++;
  }
  return events;
}

int
RunStream(Deployment& aDeployment, Record& aRecord)
{
  const std::string address = aDeployment.StartWorker("llm-1");
  aDeployment.Put("op", "config", Configuration());
  aDeployment.Put(
    "servers", "llm-1", aDeployment.RowOf("llm-1", "llm", "ready", 1));
  const std::string front = aDeployment.StartGate("gate-1");

  std::atomic<int> seen = 0;
  Reply reply;
  std::thread caller([&] {
    const std::string plan = "stream,count=" + std::to_string(kEvents) +
                             ",gap=" + std::to_string(kGapMs) +
                             ",framing=close";
    reply = Call(front,
                 { .mMethod = "POST",
                   .mTarget = "/guide/1",
                   .mHeaders = { { "Host", "desk.example" },
                                 { "X-Request-Id", "stream-1" },
                                 { "X-Deadline-Ms", "15000" },
                                 { "X-Credential", "key-of-desk" },
                                 { "X-Test-Plan", plan } },
                   .mBody = "guide me",
                   .mTimeoutMs = 15000 },
                 [&](const std::string& aBody) { seen = EventsIn(aBody); });
  });
  for (int each = 0; each < 500 && seen < 10; ++each) {
    SleepMs(10);
  }
  aRecord.Line("the caller has read " + std::to_string(seen) + " events");
  if (WithTrouble()) {
    constexpr int kBeforeCrashMs = 500;
    constexpr int kDownMs = 2000;
    constexpr int kFrozenMs = 4000;
    aRecord.Line("gate-1 is frozen");
    aDeployment.Gate("gate-1").Signal(SIGSTOP);
    SleepMs(kBeforeCrashMs);
    aRecord.Line("llm-1 crashes");
    aDeployment.Worker("llm-1").Kill();
    SleepMs(kDownMs);
    aDeployment.StartWorker("llm-1", address);
    aDeployment.Put(
      "servers", "llm-1", aDeployment.RowOf("llm-1", "llm", "ready", 1));
    SleepMs(kFrozenMs - kBeforeCrashMs - kDownMs);
    aRecord.Line("gate-1 wakes");
    aDeployment.Gate("gate-1").Signal(SIGCONT);
  }
  caller.join();
  const int events = EventsIn(reply.mBody);
  aRecord.Line("the caller's answer: status " + std::to_string(reply.mStatus) +
               ", seal '" + reply.Header("X-Response-Seal") + "', " +
               std::to_string(events) + " of " + std::to_string(kEvents) +
               " events, end of the connection: " + reply.mEnd +
               (reply.mComplete ? " (a complete answer)" : " (incomplete)"));
  if (events == 0 || (!WithTrouble() && events != kEvents)) {
    return kCouldNotRun;
  }
  return reply.mComplete && events < kEvents ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, RunStream);
}
