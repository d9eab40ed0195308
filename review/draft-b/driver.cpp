#include "../standins-3/proxy.h"
#include "../standins-3/scene.h"

#include <csignal>

/**
 * A worker crashes and starts again behind a cut (node_cut, how = servers
 * reborn) while it sends answers that end with their connection.
 */
namespace {

using namespace review;
using nlohmann::json;

constexpr int kWorkers = 7;
constexpr int kCallers = 28;
constexpr int kBodyBytes = 800;
constexpr int kPauseMs = 1500;
constexpr int kTimeoutMs = 4000;
/** Of the cut, from its start: the crash, the new start, the heal. */
constexpr int kCrashMs = 200;
constexpr int kRestartMs = 600;
constexpr int kHealMs = 1300;

struct Host
{
  std::unique_ptr<Worker> mWorker;
  Proxy* mLink = nullptr; /**< its threads outlive the case */
};

int
Run(const Setting& aSetting, Record& aRecord)
{
  // Its threads may still serve when the case has ended.
  static Store store;
  store.Put(
    "op",
    "config",
    ConfigOf(json::array({ RouteOf("booking", "unsafe", "svc", kTimeoutMs) }),
             Services()));
  std::vector<Host> hosts;
  for (int each = 1; each <= kWorkers; ++each) {
    Host host;
    host.mWorker =
      std::make_unique<Worker>(aSetting, "w" + std::to_string(each));
    if (!host.mWorker->AwaitListening()) {
      return kCouldNotRun;
    }
    host.mLink = new Proxy(host.mWorker->Port());
    store.Put("servers",
              host.mWorker->Id(),
              host.mWorker->Entry("ready", 1, host.mLink->Port()));
    hosts.push_back(std::move(host));
  }
  Gate gate(aSetting, store);
  if (!gate.AwaitReady()) {
    return kCouldNotRun;
  }
  SleepMs(500);
  std::vector<Answer> answers(kCallers);
  std::vector<std::thread> callers;
  const auto idOf = [](int aCaller) { return "r" + std::to_string(aCaller); };
  for (int each = 0; each < kCallers; ++each) {
    callers.emplace_back([&, each] {
      const Socket caller = Connect(gate.Front());
      aRecord.Line("caller sends " + idOf(each));
      caller.Send(RequestText("POST",
                              "/booking/plain/" + std::to_string(kBodyBytes) +
                                "/" + std::to_string(kPauseMs),
                              idOf(each),
                              kTimeoutMs,
                              "seat 7"));
      answers[each] = AnswerReader(caller).Read(kTimeoutMs + 2000);
      aRecord.Line("caller has " + idOf(each) + ": status " +
                   std::to_string(answers[each].mStatus) + ", " +
                   std::to_string(answers[each].mBody.size()) + " bytes, end " +
                   NameOf(answers[each].mEnd));
    });
  }
  SleepMs(400);
  Host& cut = hosts.front();
  std::unique_ptr<Worker> before;
  if (aSetting.mTrouble) {
    aRecord.Line("the link of " + cut.mWorker->Id() + " is cut");
    cut.mLink->SetCut(true);
    SleepMs(kCrashMs);
    aRecord.Line(cut.mWorker->Id() + " crashes");
    cut.mWorker->Running().Kill();
    SleepMs(kRestartMs - kCrashMs);
    const int port = cut.mWorker->Port();
    before = std::exchange(cut.mWorker, nullptr);
    cut.mWorker = std::make_unique<Worker>(aSetting, "w1-again", port);
    if (!cut.mWorker->AwaitListening()) {
      return kCouldNotRun;
    }
    aRecord.Line("it starts again as " + cut.mWorker->Id() +
                 " and lists itself");
    store.Put("servers",
              cut.mWorker->Id(),
              cut.mWorker->Entry("ready", 1, cut.mLink->Port()));
    SleepMs(kHealMs - kRestartMs);
    aRecord.Line("the cut heals");
    cut.mLink->SetCut(false);
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int lost = 0;
  int falselyWhole = 0;
  int whole = 0;
  for (int each = 0; each < kCallers; ++each) {
    const Answer& answer = answers[each];
    const bool all = answer.mBody.size() == kBodyBytes;
    const bool success = answer.IsSuccess() && answer.mEnd == End::Complete;
    whole += success && all ? 1 : 0;
    if (before && before->Ran(idOf(each)) && !before->Ended(idOf(each))) {
      lost++;
      if (success && !all) {
        falselyWhole++;
        aRecord.Line("broken: " + idOf(each) + " is a success of " +
                     std::to_string(answer.mBody.size()) + " of " +
                     std::to_string(kBodyBytes) + " bytes; " + before->Id() +
                     " crashed before it had sent the rest");
      }
    }
  }
  aRecord.Line(std::to_string(whole) + " answers whole, " +
               std::to_string(lost) + " cut by the crash, of these " +
               std::to_string(falselyWhole) + " look complete");
  if (aSetting.mTrouble && lost == 0) {
    return kCouldNotRun;
  }
  if (!aSetting.mTrouble && whole != kCallers) {
    return kBroken;
  }
  return falselyWhole > 0 ? kBroken : kHeld;
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
