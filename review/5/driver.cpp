#include "../standins-2/harness.h"

#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr int kWorkers = 7;
constexpr int kStreams = 28;
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
                 { "targetLatencyMs", 300 },
                 { "gapAimMs", 200 },
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

struct Stream
{
  std::string mId;
  std::string mWorker; /**< that ran it; empty if it has ended it */
  Reply mReply;
};

Reply
AskFor(const std::string& aFront, const std::string& aId)
{
  const std::string plan = "stream,count=" + std::to_string(kEvents) +
                           ",gap=" + std::to_string(kGapMs) + ",framing=close";
  return Call(aFront,
              { .mMethod = "POST",
                .mTarget = "/guide/" + aId,
                .mHeaders = { { "Host", "desk.example" },
                              { "X-Request-Id", aId },
                              { "X-Deadline-Ms", "15000" },
                              { "X-Credential", "key-of-desk" },
                              { "X-Test-Plan", plan } },
                .mBody = "guide me",
                .mTimeoutMs = 15000 });
}

int
RunStreams(Deployment& aDeployment, Record& aRecord)
{
  const auto list =
    [&](const std::string& aId, const std::string& aState, int aSequence) {
      aDeployment.Put(
        "servers", aId, aDeployment.RowOf(aId, "llm", aState, aSequence));
    };
  aDeployment.Put("op", "config", Configuration());
  for (int each = 1; each <= kWorkers; ++each) {
    const std::string id = "llm-" + std::to_string(each);
    aDeployment.StartWorker(id);
    list(id, "ready", 1);
  }
  const std::string front = aDeployment.StartGate("gate-1");
  std::vector<Stream> streams(kStreams);
  std::vector<std::thread> callers;
  for (int each = 0; each < kStreams; ++each) {
    streams[each].mId = "stream-" + std::to_string(each);
    callers.emplace_back([&front, &stream = streams[each]] {
      stream.mReply = AskFor(front, stream.mId);
    });
  }
  constexpr int kBeforeMs = 500;
  SleepMs(kBeforeMs);
  const std::string leaving = "llm-1";
  list(leaving, "draining", 2);
  constexpr int kNoticeMs = 2000;
  SleepMs(kNoticeMs);
  if (WithTrouble()) {
    const Json runs = aDeployment.Runs(leaving);
    aRecord.Line(leaving + " is killed; its runs: " + runs.dump());
    aDeployment.Worker(leaving).Kill();
    for (Stream& stream : streams) {
      for (const Json& run : runs) {
        if (run.value("id", "") == stream.mId) {
          stream.mWorker = leaving;
        }
      }
    }
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int cut = 0;
  int looksWhole = 0;
  int whole = 0;
  for (const Stream& stream : streams) {
    const int events = EventsIn(stream.mReply.mBody);
    aRecord.Line(
      stream.mId + ": status " + std::to_string(stream.mReply.mStatus) +
      ", seal '" + stream.mReply.Header("X-Response-Seal") + "', " +
      std::to_string(events) + " of " + std::to_string(kEvents) +
      " events, end of the connection: " + stream.mReply.mEnd +
      (stream.mReply.mComplete ? " (a complete answer)" : " (incomplete)") +
      (stream.mWorker.empty() ? "" : ", cut at " + stream.mWorker));
    const bool complete = stream.mReply.mComplete;
    whole += complete && events == kEvents ? 1 : 0;
    cut += stream.mWorker.empty() ? 0 : 1;
    const bool wasCut = !stream.mWorker.empty() && events < kEvents;
    looksWhole += complete && wasCut && events > 0 ? 1 : 0;
  }
  aRecord.Line(std::to_string(whole) + " streams are whole, " +
               std::to_string(cut) + " were cut, " +
               std::to_string(looksWhole) + " of them end as complete");
  const int expected = kStreams - cut;
  if (whole != expected || (WithTrouble() && cut == 0)) {
    return kCouldNotRun;
  }
  return looksWhole > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, RunStreams);
}
