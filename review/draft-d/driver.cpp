#include "../standins-3/scene.h"

#include <csignal>

/**
 * Callers send the next request on a kept connection before the answer to the
 * last one has ended, and then read a long answer slowly for a second.
 */
namespace {

using namespace review;
using nlohmann::json;

constexpr int kCallers = 8;
constexpr int kTimeoutMs = 10000;
constexpr int kBodyBytes = 1000000;
constexpr int kReceiveBuffer = 65536;
/** How long a caller does not read, after which it reads as fast as it can. */
constexpr int kSlowMs = 1000;
constexpr int kMostLost = 3;
/** Between the callers' beginnings. */
constexpr int kStaggerMs = 80;

int
Run(const Setting& aSetting, Record& aRecord)
{
  // Its threads may still serve when the case has ended.
  static Store store;
  store.Put(
    "op",
    "config",
    ConfigOf(json::array({ RouteOf("lookup", "safe", "svc", kTimeoutMs) }),
             Services()));
  Worker worker(aSetting, "w1");
  if (!worker.AwaitListening()) {
    return kCouldNotRun;
  }
  store.Put("servers", worker.Id(), worker.Entry("ready", 1, worker.Port()));
  Gate gate(aSetting, store);
  if (!gate.AwaitReady()) {
    return kCouldNotRun;
  }
  SleepMs(500);
  std::vector<Answer> answers(kCallers);
  std::vector<std::thread> callers;
  const auto idOf = [](int aCaller) { return "r" + std::to_string(aCaller); };
  for (int each = 0; each < kCallers; ++each) {
    SleepMs(kStaggerMs);
    callers.emplace_back([&, each] {
      const Socket caller =
        Connect(gate.Front(), aSetting.mTrouble ? kReceiveBuffer : 0);
      AnswerReader reader(caller);
      const std::string size = std::to_string(kBodyBytes);
      aRecord.Line("caller sends " + idOf(each) + "-first and " + idOf(each));
      caller.Send(
        RequestText(
          "GET", "/lookup/whole/100/100", idOf(each) + "-first", kTimeoutMs) +
        RequestText(
          "GET", "/lookup/paced/" + size + "/5", idOf(each), kTimeoutMs));
      const Answer first = reader.Read(kTimeoutMs);
      aRecord.Line("caller has " + idOf(each) + "-first: status " +
                   std::to_string(first.mStatus));
      const int64_t begun = Now();
      if (aSetting.mTrouble) {
        SleepMs(kSlowMs);
      }
      answers[each] = reader.Read(kTimeoutMs + 2000);
      aRecord.Line("caller has " + idOf(each) + ": status " +
                   std::to_string(answers[each].mStatus) + ", " +
                   std::to_string(answers[each].mBody.size()) + " of " + size +
                   " bytes after " + std::to_string(Now() - begun) +
                   " ms, end " + NameOf(answers[each].mEnd));
    });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int lost = 0;
  for (int each = 0; each < kCallers; ++each) {
    const bool whole = answers[each].mEnd == End::Complete &&
                       answers[each].mBody.size() == kBodyBytes;
    if (worker.Ran(idOf(each)) && !whole) {
      lost++;
    }
  }
  aRecord.Line(std::to_string(lost) +
               " requests were passed on to a sound worker and their "
               "connections closed without a whole answer");
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
