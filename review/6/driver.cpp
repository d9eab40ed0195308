#include "../standins-2/harness.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr int64_t kMemoryBytes = 110LL * 1024 * 1024;
constexpr size_t kMaxBodyBytes = 4194304;
constexpr int kUploads = 40;
constexpr int kKept = 8;
constexpr int kWorkMs = 8000;

Json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "confirm" },
                 { "host", "desk.example" },
                 { "prefix", "/confirm/" },
                 { "kind", "unsafe" },
                 { "service", "app" },
                 { "timeoutMs", 15000 },
                 { "targetLatencyMs", 5000 },
                 { "priority", 2 },
                 { "maxAttempts", 1 } } } },
           { "services", { { { "name", "app" }, { "maxConns", 100 } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", kMaxBodyBytes },
               { "headerTimeoutMs", 5000 },
               { "idleTimeoutMs", 20000 } } },
           { "tenants",
             { { { "name", "desk" }, { "apiKeys", { "key-of-desk" } } } } } };
}

Request
Confirm(const std::string& aId, const std::string& aPlan)
{
  return { .mMethod = "POST",
           .mTarget = "/confirm/" + aId,
           .mHeaders = { { "Host", "desk.example" },
                         { "X-Request-Id", aId },
                         { "X-Deadline-Ms", "15000" },
                         { "X-Credential", "key-of-desk" },
                         { "X-Test-Plan", aPlan } },
           .mBody = "confirm",
           .mTimeoutMs = 20000 };
}

/** What the platform does: a process that exceeds its memory is killed. */
class MemoryGuard
{
public:
  MemoryGuard(Child& aGate, Record& aRecord)
    : mGate(aGate)
    , mRecord(aRecord)
    , mThread([this] { Run(); })
  {
  }
  ~MemoryGuard()
  {
    mStop = true;
    mThread.join();
  }
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  bool HasKilled() const { return mKilled; }
  int64_t MostBytes() const { return mMost; }

private:
  void Run()
  {
    while (!mStop && !mKilled) {
      const int64_t bytes = mGate.MemoryBytes();
      mMost = std::max<int64_t>(mMost, bytes);
      if (bytes > kMemoryBytes) {
        mRecord.Line("gate-1 uses " + std::to_string(bytes) +
                     " bytes, over its memoryMb: the platform kills it");
        mGate.Kill();
        mKilled = true;
      }
      SleepMs(5);
    }
  }

  Child& mGate;
  Record& mRecord;
  std::atomic<bool> mStop = false;
  std::atomic<bool> mKilled = false;
  std::atomic<int64_t> mMost = 0;
  std::thread mThread;
};

/** Callers that send a body of the size that the limits allow, side by side. */
void
Upload(const std::string& aFront, size_t aBytes)
{
  std::vector<std::unique_ptr<Connection>> callers;
  for (int each = 1; each <= kUploads; ++each) {
    callers.push_back(std::make_unique<Connection>(aFront));
    callers.back()->Send(
      "POST /confirm/upload-" + std::to_string(each) +
      " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: upload-" +
      std::to_string(each) +
      "\r\nX-Deadline-Ms: 8000\r\nX-Credential: key-of-desk\r\n"
      "Content-Length: " +
      std::to_string(aBytes) + "\r\n\r\n");
  }
  constexpr size_t kPieces = 32;
  const std::string piece(aBytes / kPieces, 'b');
  for (size_t each = 0; each < kPieces; ++each) {
    for (const auto& caller : callers) {
      caller->Send(piece);
    }
    constexpr int kGapMs = 120;
    SleepMs(kGapMs);
  }
  for (const auto& caller : callers) {
    caller->Read({ .mTimeoutMs = 100 });
  }
}

int
RunUploads(Deployment& aDeployment, Record& aRecord)
{
  aDeployment.StartWorker("app-1");
  aDeployment.Put("op", "config", Configuration());
  aDeployment.Put(
    "servers", "app-1", aDeployment.RowOf("app-1", "app", "ready", 1));
  const std::string front = aDeployment.StartGate("gate-1");
  MemoryGuard guard(aDeployment.Gate("gate-1"), aRecord);

  std::vector<Reply> first(kKept);
  std::vector<Reply> second(kKept);
  std::vector<std::thread> callers;
  for (size_t each = 0; each < kKept; ++each) {
    callers.emplace_back([&, each] {
      Connection connection(front);
      const std::string id = std::to_string(each + 1);
      first[each] = connection.Ask(Confirm("first-" + id, "ok"));
      second[each] = connection.Ask(
        Confirm("second-" + id, "ok,delay=" + std::to_string(kWorkMs)));
    });
  }
  SleepMs(1000);
  aRecord.Line(std::to_string(aDeployment.Runs("app-1").size()) +
               " requests have reached the worker");
  constexpr size_t kSmallBytes = 18000;
  const size_t bytes = WithTrouble() ? kMaxBodyBytes : kSmallBytes;
  aRecord.Line(std::to_string(kUploads) + " callers send bodies of " +
               std::to_string(bytes) + " bytes each, the limit is " +
               std::to_string(kMaxBodyBytes));
  Upload(front, bytes);
  for (std::thread& each : callers) {
    each.join();
  }
  int unanswered = 0;
  for (size_t each = 0; each < kKept; ++each) {
    const bool lost = first[each].mComplete && second[each].mStatus == 0;
    unanswered += lost ? 1 : 0;
    aRecord.Line("kept connection " + std::to_string(each + 1) + ": status " +
                 std::to_string(first[each].mStatus) + ", then status " +
                 std::to_string(second[each].mStatus) + ", end " +
                 second[each].mEnd);
  }
  const Json runs = aDeployment.Runs("app-1");
  const auto passedOn =
    std::count_if(runs.begin(), runs.end(), [](const Json& aRun) {
      return aRun.at("id").get<std::string>().starts_with("second-");
    });
  aRecord.Line("most memory of gate-1: " + std::to_string(guard.MostBytes()) +
               " bytes; " + std::to_string(passedOn) +
               " requests of kept connections were passed on, " +
               std::to_string(unanswered) +
               " of these connections ended without an answer");
  if (passedOn != kKept || (!WithTrouble() && unanswered > 0)) {
    return kCouldNotRun;
  }
  return guard.HasKilled() && unanswered > 3 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, RunUploads);
}
