#include "../standins-3/scene.h"

#include <csignal>

/**
 * A worker that has said that it leaves is taken away (scale_in, how = spot)
 * while it streams answers that end with their connection.
 */
namespace {

using namespace review;
using nlohmann::json;

constexpr int kWorkers = 7;
constexpr int kCallers = 28;
constexpr int kEvents = 50;
constexpr int kGapMs = 100;
constexpr int kTimeoutMs = 15000;
/** From the notice to the end of the process, as `kinds` says of spot. */
constexpr int kNoticeMs = 2000;

size_t
EventsIn(const std::string& aBody)
{
  size_t count = 0;
  size_t at = aBody.find("\n\n");
  while (at != std::string::npos) {
    count++;
    at = aBody.find("\n\n", at + 2);
  }
  return count;
}

int
Run(const Setting& aSetting, Record& aRecord)
{
  // Its threads may still serve when the case has ended.
  static Store store;
  store.Put(
    "op",
    "config",
    ConfigOf(json::array({ RouteOf("guide", "stream", "svc", kTimeoutMs) }),
             Services()));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int each = 1; each <= kWorkers; ++each) {
    workers.push_back(
      std::make_unique<Worker>(aSetting, "w" + std::to_string(each)));
    Worker& worker = *workers.back();
    if (!worker.AwaitListening()) {
      return kCouldNotRun;
    }
    store.Put("servers", worker.Id(), worker.Entry("ready", 1, worker.Port()));
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
                              "/guide/stream/" + std::to_string(kEvents) + "/" +
                                std::to_string(kGapMs),
                              idOf(each),
                              kTimeoutMs,
                              "prompt"));
      answers[each] = AnswerReader(caller).Read(kTimeoutMs);
      aRecord.Line("caller has " + idOf(each) + ": status " +
                   std::to_string(answers[each].mStatus) + ", " +
                   std::to_string(EventsIn(answers[each].mBody)) +
                   " events, end " + NameOf(answers[each].mEnd));
    });
  }
  SleepMs(600);
  Worker& leaving = *workers.front();
  if (aSetting.mTrouble) {
    aRecord.Line(leaving.Id() + " says that it leaves");
    store.Put(
      "servers", leaving.Id(), leaving.Entry("draining", 2, leaving.Port()));
    SleepMs(kNoticeMs);
    aRecord.Line(leaving.Id() + " is taken away");
    leaving.Running().Kill();
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int cut = 0;
  int falselyWhole = 0;
  int whole = 0;
  for (int each = 0; each < kCallers; ++each) {
    const Answer& answer = answers[each];
    const bool all = EventsIn(answer.mBody) == kEvents;
    whole += all && answer.mEnd == End::Complete ? 1 : 0;
    for (const auto& worker : workers) {
      if (!worker->Ran(idOf(each)) || worker->Ended(idOf(each))) {
        continue;
      }
      cut++;
      // The client can't tell it from a whole answer.
      if (answer.IsSuccess() && answer.mEnd == End::Complete && !all) {
        falselyWhole++;
        aRecord.Line("broken: " + idOf(each) + " ends as complete after " +
                     std::to_string(EventsIn(answer.mBody)) + " of " +
                     std::to_string(kEvents) + " events; " + worker->Id() +
                     " had not ended it");
      }
    }
  }
  aRecord.Line(std::to_string(whole) + " answers whole, " +
               std::to_string(cut) + " cut by a worker's end, of these " +
               std::to_string(falselyWhole) + " look complete");
  if (aSetting.mTrouble && cut == 0) {
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
