#include "../standins-3/scene.h"

#include <csignal>

/**
 * Many users come at once with long prompts, each within the limits of the
 * configuration. The platform ends a process that exceeds its memory.
 */
namespace {

using namespace review;
using nlohmann::json;

constexpr int kMemoryMb = 110;
constexpr int kUploads = 40;
constexpr size_t kBodyBytes = 4194304; /**< maxBodyBytes */
constexpr size_t kPieceBytes = 65536;
/** Between two pieces of one body: some 1.3 s for a whole body. */
constexpr int kPieceGapMs = 20;
constexpr int kKept = 8;
constexpr int kTimeoutMs = 8000;
constexpr int kWorkMs = 4000;
constexpr int kMostLost = 3;

/** Ends the gate as the platform does, and notes what it used at the most. */
class MemoryLimit
{
public:
  MemoryLimit(Process& aProcess, Record& aRecord)
    : mThread([this, &aProcess, &aRecord] {
      while (!mStop && aProcess.Running()) {
        mMostKb = std::max(mMostKb.load(), aProcess.ResidentKb());
        if (mMostKb > kMemoryMb * 1024) {
          aRecord.Line("the gate uses " + std::to_string(mMostKb / 1024) +
                       " MB; the platform kills it");
          aProcess.Kill();
          mKilled = true;
        }
        SleepMs(5);
      }
    })
  {
  }
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;
  ~MemoryLimit()
  {
    mStop = true;
    mThread.join();
  }

  bool Killed() const { return mKilled; }
  int64_t MostMb() const { return mMostKb / 1024; }

private:
  std::atomic<bool> mStop = false;
  std::atomic<bool> mKilled = false;
  std::atomic<int64_t> mMostKb = 0;
  std::thread mThread;
};

void
Upload(const Gate& aGate, Record& aRecord, int aNumber)
{
  const std::string id = "long-" + std::to_string(aNumber);
  const Socket caller = Connect(aGate.Front());
  const std::string text = RequestText("POST",
                                       "/lookup/whole/100/50",
                                       id,
                                       kTimeoutMs,
                                       std::string(kBodyBytes, 'p'));
  aRecord.Line("caller sends " + id);
  for (size_t at = 0; at < text.size(); at += kPieceBytes) {
    if (!caller.Send(text.substr(at, kPieceBytes))) {
      break;
    }
    SleepMs(kPieceGapMs);
  }
  const Answer answer = AnswerReader(caller).Read(kTimeoutMs);
  aRecord.Line("caller has " + id + ": status " +
               std::to_string(answer.mStatus) + ", end " + NameOf(answer.mEnd));
}

int
Run(const Setting& aSetting, Record& aRecord)
{
  // Its threads may still serve when the case has ended.
  static Store store;
  store.Put(
    "op",
    "config",
    ConfigOf(json::array({ RouteOf("lookup", "safe", "svc", kTimeoutMs),
                           RouteOf("booking", "unsafe", "svc", kTimeoutMs) }),
             Services()));
  Worker worker(aSetting, "w1");
  if (!worker.AwaitListening()) {
    return kCouldNotRun;
  }
  store.Put("servers", worker.Id(), worker.Entry("ready", 1, worker.Port()));
  Gate gate(aSetting, store, { .mMemoryMb = kMemoryMb });
  if (!gate.AwaitReady()) {
    return kCouldNotRun;
  }
  SleepMs(500);
  MemoryLimit limit(gate.Running(), aRecord);
  std::vector<Answer> answers(kKept);
  std::vector<std::thread> callers;
  const auto idOf = [](int aCaller) {
    return "booking-" + std::to_string(aCaller);
  };
  for (int each = 0; each < kKept; ++each) {
    callers.emplace_back([&, each] {
      const Socket caller = Connect(gate.Front());
      AnswerReader reader(caller);
      // The first one makes it a kept connection.
      caller.Send(RequestText(
        "POST", "/booking/whole/10/10", idOf(each) + "-first", kTimeoutMs));
      reader.Read(kTimeoutMs);
      aRecord.Line("caller sends " + idOf(each));
      caller.Send(RequestText("POST",
                              "/booking/whole/800/" + std::to_string(kWorkMs),
                              idOf(each),
                              kTimeoutMs,
                              "seat 7"));
      answers[each] = reader.Read(kTimeoutMs);
      aRecord.Line("caller has " + idOf(each) + ": status " +
                   std::to_string(answers[each].mStatus) + ", end " +
                   NameOf(answers[each].mEnd));
    });
  }
  SleepMs(500);
  if (aSetting.mTrouble) {
    for (int each = 0; each < kUploads; ++each) {
      callers.emplace_back(Upload, std::cref(gate), std::ref(aRecord), each);
    }
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int lost = 0;
  for (int each = 0; each < kKept; ++each) {
    const bool answered = answers[each].mEnd == End::Complete;
    if (worker.Ran(idOf(each)) && !answered) {
      lost++;
      aRecord.Line("lost: " + idOf(each) +
                   " was passed on to a sound worker, and its connection "
                   "ended without an answer");
    }
  }
  aRecord.Line("most memory " + std::to_string(limit.MostMb()) + " MB of " +
               std::to_string(kMemoryMb) + "; " + std::to_string(lost) +
               " kept requests lost");
  return lost > kMostLost ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const Setting setting = ReadSetting(aCount, aArguments);
  Record record(setting.mRecord);
  const int result = Run(setting, record);
  record.Line("exit " + std::to_string(result));
  std::quick_exit(result);
}
