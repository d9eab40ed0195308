#include "gate.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kProgram = "target/bin/trefoilarch-gate";
constexpr const char* kTemplate = "deploy/gate.env";

std::string
ValueOf(const Gate::Fields& aFields, const std::string& aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? "" : found->second;
}

/** Fills in {{name}} and {{#name}}..{{/name}}. */
std::string
FillIn(std::string aText, const Gate::Fields& aFields)
{
  for (size_t open = aText.find("{{"); open != std::string::npos;
       open = aText.find("{{")) {
    const size_t close = aText.find("}}", open);
    const std::string name = aText.substr(open + 2, close - open - 2);
    if (name.starts_with("#")) {
      const std::string end = "{{/" + name.substr(1) + "}}";
      const size_t ends = aText.find(end, close);
      const std::string inner = ValueOf(aFields, name.substr(1)).empty()
                                  ? ""
                                  : aText.substr(close + 2, ends - close - 2);
      aText.replace(open, ends + end.size() - open, inner);
    } else {
      aText.replace(open, close + 2 - open, ValueOf(aFields, name));
    }
  }
  return aText;
}

} // namespace

Gate::Fields
SmallSite()
{
  return { { "zone", "here" },
           { "bounds.revokeMs", "5000" },
           { "bounds.configApplyMs", "2000" },
           { "bounds.drainMs", "2000" },
           { "heartbeatMs", "1200" },
           { "bounds.retryBudgetRatio", "0.2" },
           { "bounds.budgetSlack", "54" },
           { "bounds.graceS", "8" },
           { "limits.maxFds", "4100" },
           { "limits.memoryMb", "110" } };
}

Gate::Gate(const std::string& aName,
           const std::string& aIp,
           const std::string& aStore,
           const std::string& aFolder,
           const Fields& aMore)
  : mName(aName)
  , mCallers(aIp + ":" + std::to_string(FreePort(aIp)))
  , mReady(aIp + ":" + std::to_string(FreePort(aIp)))
  , mSettings(aFolder + "/" + aName + ".env")
  , mLog(aFolder + "/" + aName + ".log")
{
  Fields fields = SmallSite();
  for (const auto& [name, value] : aMore) {
    fields[name] = value;
  }
  fields["nodeName"] = aName;
  fields["listen.front"] = mCallers;
  fields["listen.ready"] = mReady;
  fields["platform.address"] = aStore;
  fields["ip"] = aIp;
  fields["portRange.0"] = std::to_string(FreePort(aIp));
  std::ifstream file(kTemplate);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  std::ofstream(mSettings) << FillIn(text, fields);
}

Gate::~Gate()
{
  Stop();
}

void
Gate::Start()
{
  mProcess = fork();
  if (mProcess != 0) {
    return;
  }
  // The gate ends with this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
    open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("TREFOILARCH_BOOT", mSettings.c_str(), 1);
  execl(kProgram, kProgram, nullptr);
  _exit(127);
}

void
Gate::Signal(int aSignal) const
{
  if (mProcess > 0) {
    kill(mProcess, aSignal);
  }
}

void
Gate::Stop()
{
  if (mProcess > 0) {
    kill(mProcess, SIGCONT);
    kill(mProcess, SIGKILL);
    waitpid(mProcess, nullptr, 0);
    mProcess = -1;
  }
}

long
Gate::MemoryKb() const
{
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      long kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

bool
Gate::HasEnded()
{
  if (mProcess > 0 && waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
    mProcess = -1;
  }
  return mProcess < 0;
}

bool
Gate::AwaitReady(Ms aTimeout) const
{
  const auto until = Clock::now() + aTimeout;
  while (Clock::now() < until) {
    const Socket connection = Connect(mReady, Ms(200));
    if (connection.IsOpen() &&
        SendAll(connection.Get(),
                "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      const auto answer = Reader(connection.Get()).Next(Clock::now() + Ms(500));
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(Ms(50));
  }
  return false;
}

} // namespace review
