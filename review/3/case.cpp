#include "../standins/client.h"
#include "../standins/gate.h"
#include "../standins/store.h"
#include "../standins/worker.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>

/**
 * Three gates with the duty of usage reports are restarted in turn; meanwhile
 * the store comes back from an older copy.
 *
 * Arguments: the folder for settings and logs, and the file of the record.
 * TROUBLE=0: the store stays as it is, all else happens as well.
 */

using namespace review;
using Json = nlohmann::json;

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int64_t kWindowMs = 5000;
constexpr Ms kAway{ 1000 };
constexpr Ms kStableWindow{ 4000 };
constexpr Ms kRestartDelay{ 1000 };
constexpr Ms kObserved{ 25000 };

struct Report
{
  Clock::time_point mAt;
  std::string mHolder;
  uint64_t mToken = 0;
  uint64_t mWindow = 0;
  Json mCounts;
};

/** Takes the duty's calls, and accepts each. */
class Receiver
{
public:
  explicit Receiver(Record& aRecord)
    : mRecord(aRecord)
    , mServer("127.0.0.1", [this](int aDescriptor) { Serve(aDescriptor); })
  {
  }

  std::string Address() const { return mServer.Address(); }

  std::vector<Report> All()
  {
    const std::lock_guard lock(mMutex);
    return mAll;
  }

private:
  void Serve(int aDescriptor)
  {
    Reader reader(aDescriptor);
    while (const auto call =
             reader.Next(Clock::now() + std::chrono::seconds(60))) {
      Take(*call);
      if (!SendAll(aDescriptor,
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
    }
  }

  void Take(const Message& aCall)
  {
    const Json body = Json::parse(aCall.mBody, nullptr, false);
    Report report{ .mAt = Clock::now(),
                   .mHolder = aCall.Header("x-duty-holder"),
                   .mToken = std::strtoull(
                     aCall.Header("x-fencing-token").c_str(), nullptr, 10),
                   .mWindow = body.value("window", uint64_t{ 0 }),
                   .mCounts = body.value("counts", Json::object()) };
    mRecord.Write("usage report by " + report.mHolder + " token " +
                  std::to_string(report.mToken) + " " + body.dump());
    const std::lock_guard lock(mMutex);
    mAll.push_back(std::move(report));
  }

  Record& mRecord;
  std::mutex mMutex;
  std::vector<Report> mAll;
  Server mServer;
};

std::string
Config()
{
  return Json{
    { "version", 10 },
    { "routes",
      Json::array({ { { "name", "notice" },
                      { "host", "desk.example" },
                      { "prefix", "/notice/" },
                      { "kind", "safe" },
                      { "timeoutMs", 2000 },
                      { "targetLatencyMs", 300 },
                      { "priority", 2 },
                      { "service", "booking" },
                      { "maxAttempts", 2 },
                      { "public", false } } }) },
    { "services",
      Json::array({ { { "name", "booking" }, { "maxConns", 100 } } }) },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 5000 },
        { "idleTimeoutMs", 30000 } } },
    { "tenants",
      Json::array(
        { { { "name", "desk" }, { "apiKeys", Json::array({ "key-desk" }) } },
          { { "name", "yard" },
            { "apiKeys", Json::array({ "key-yard" }) } } }) }
  }.dump();
}

/** Sends to each gate in turn until it is stopped. */
class Traffic
{
public:
  Traffic(std::vector<std::unique_ptr<Gate>>& aGates, Record& aRecord)
    : mGates(aGates)
    , mRecord(aRecord)
    , mThread([this] { Run(); })
  {
  }
  ~Traffic()
  {
    mStopping = true;
    mThread.join();
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

private:
  void Run()
  {
    for (size_t count = 0; !mStopping; ++count) {
      Call(mGates[count % mGates.size()]->Callers(),
           { .mPath = "/notice/a",
             .mId = "r-" + std::to_string(count),
             .mKey = count % 2 == 0 ? "key-desk" : "key-yard" },
           mRecord);
      std::this_thread::sleep_for(Ms(60));
    }
  }

  std::vector<std::unique_ptr<Gate>>& mGates;
  Record& mRecord;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

int64_t
UnixMs()
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Stops a gate as planned, and starts it again a moment after its end. The
 * gate lives as long as this object. */
class Restart
{
public:
  Restart(Gate& aGate, Record& aRecord)
    : mThread([this, &aGate, &aRecord] {
      aRecord.Write("SIGTERM to " + aGate.Name());
      aGate.Signal(SIGTERM);
      while (!aGate.HasEnded()) {
        std::this_thread::sleep_for(Ms(10));
      }
      aRecord.Write(aGate.Name() + " has ended");
      std::this_thread::sleep_for(kRestartDelay);
      aGate.Start();
      aRecord.Write(aGate.Name() + " starts again");
      while (!mEnding) {
        std::this_thread::sleep_for(Ms(10));
      }
    })
  {
  }
  ~Restart()
  {
    mEnding = true;
    mThread.join();
  }
  Restart(const Restart&) = delete;
  Restart& operator=(const Restart&) = delete;

private:
  std::atomic<bool> mEnding{ false };
  std::thread mThread;
};

/** The rule ONE over all calls. A lower token does not count in the store's
 * disruption and just after it; the other sentences know no such excuse. */
int
Breaches(const std::vector<Report>& aReports,
         Clock::time_point aFrom,
         Clock::time_point aTo,
         Record& aRecord)
{
  int breaches = 0;
  const auto note = [&](const std::string& aText) {
    breaches++;
    aRecord.Write("ONE broken: " + aText);
  };
  for (size_t later = 0; later < aReports.size(); ++later) {
    const Report& second = aReports[later];
    const bool excused = second.mAt >= aFrom && second.mAt < aTo;
    for (size_t earlier = 0; earlier < later; ++earlier) {
      const Report& first = aReports[earlier];
      const std::string calls =
        first.mHolder + " token " + std::to_string(first.mToken) + ", then " +
        second.mHolder + " token " + std::to_string(second.mToken);
      if (first.mWindow == second.mWindow && first.mCounts != second.mCounts) {
        note("window " + std::to_string(first.mWindow) + " reported as " +
             first.mCounts.dump() + " and as " + second.mCounts.dump() + ": " +
             calls);
      }
      if (first.mToken == second.mToken && first.mHolder != second.mHolder) {
        note("the same token of two holders: " + calls);
      }
      if (second.mToken < first.mToken && !excused) {
        note("a lower token than seen: " + calls);
      }
    }
  }
  return breaches;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool withTrouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(aArguments[2]);
  Store store("127.0.0.1");
  Receiver receiver(record);
  Runs runs;
  store.Put("op", "config", Config());
  Worker first({ .mId = "i-1", .mService = "booking" }, store, runs, record);
  Worker second({ .mId = "i-2", .mService = "booking" }, store, runs, record);
  std::vector<std::unique_ptr<Gate>> gates;
  for (const char* ip : { "127.0.0.2", "127.0.0.3", "127.0.0.4" }) {
    gates.push_back(std::make_unique<Gate>(
      "front-" + std::to_string(gates.size() + 1),
      ip,
      store.Address(),
      aArguments[1],
      Gate::Fields{ { "bounds.drainMs", "3000" },
                    { "bounds.configApplyMs", "3000" },
                    { "bounds.budgetSlack", "98" },
                    { "bounds.leaseTtlMs", "3000" },
                    { "bounds.usageWindowS", "5" },
                    { "bounds.usageLateS", "10" },
                    { "cloud.address", receiver.Address() },
                    { "cloud.duties", "usage_report" } }));
    gates.back()->Start();
  }
  for (const auto& gate : gates) {
    if (!gate->AwaitReady(Ms(10000))) {
      record.Write(gate->Name() + " did not become ready");
      return kCouldNotRun;
    }
  }
  const Traffic traffic(gates, record);
  const auto begun = Clock::now();
  while (receiver.All().size() < 3) {
    if (Clock::now() > begun + Ms(30000)) {
      record.Write("no usage reports");
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(Ms(20));
  }
  const auto gateOf = [&](const std::string& aHolder) -> Gate& {
    return **std::find_if(gates.begin(), gates.end(), [&](const auto& aGate) {
      return aGate->Name() == aHolder;
    });
  };

  // Planned work: the gates are restarted in turn, first the holder. The next
  // one takes the duty over and sends the report of the window that ends then.
  const int64_t end = (UnixMs() / kWindowMs + 2) * kWindowMs;
  std::this_thread::sleep_for(Ms(end - 3100 - UnixMs()));
  const std::string holder = receiver.All().back().mHolder;
  store.TakeCopy();
  record.Write("copy of the store at version " +
               std::to_string(store.Version()));
  std::this_thread::sleep_for(Ms(200));
  const Restart restart(gateOf(holder), record);
  const auto deadline = Clock::now() + Ms(20000);
  while (receiver.All().back().mHolder == holder) {
    if (Clock::now() > deadline) {
      record.Write("nobody took the duty over");
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(Ms(5));
  }
  const std::string next = receiver.All().back().mHolder;
  std::this_thread::sleep_for(Ms(100));
  const auto away = Clock::now();
  if (withTrouble) {
    record.Write("the store is away, at version " +
                 std::to_string(store.Version()));
    store.GoAway();
  }
  std::this_thread::sleep_for(Ms(300));
  const Restart nextRestart(gateOf(next), record);
  std::this_thread::sleep_for(kAway - Ms(300));
  if (withTrouble) {
    store.ComeBackFromCopy();
    record.Write("the store is back from its copy, at version " +
                 std::to_string(store.Version()));
  }
  const auto back = Clock::now();
  std::this_thread::sleep_for(kObserved);
  const int breaches = Breaches(receiver.All(),
                                withTrouble ? away : back,
                                withTrouble ? back + kStableWindow : back,
                                record);
  std::cout << "breaches: " << breaches << "\n";
  return breaches > 0 ? kBroken : kHeld;
}
