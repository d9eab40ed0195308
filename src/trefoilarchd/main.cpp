#include "daemonsettings.h"
#include "process.h"

#include "libtrefoilio/logs.h"
#include "libtrefoilio/systemclock.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <iostream>
#include <malloc.h>

namespace {

using namespace trefoilarch;
using trefoilio::LogLevel;
using trefoilio::LogState;

constexpr int kUsageError = 2;
constexpr int kStartError = 1;
/** Larger blocks, such as bodies, are returned to the system once freed. */
constexpr int kMappedBlockBytes = 131072;
constexpr long kSignalPollNanos = 20L * 1000 * 1000;

/** Blocks the signals in all threads; the main thread polls for them. */
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/** Waits one poll interval; returns whether a stop signal arrived. */
bool
StopRequested(const sigset_t& aSignals)
{
  const timespec interval{ .tv_sec = 0, .tv_nsec = kSignalPollNanos };
  return sigtimedwait(&aSignals, nullptr, &interval) > 0;
}

LogLevel
LevelOf(const std::string& aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  return aName == "error" ? LogLevel::Error : LogLevel::Info;
}

void
ServeUntilStopped(Process& aProcess, const sigset_t& aSignals)
{
  bool ready = false;
  while (!StopRequested(aSignals)) {
    const std::string reason = aProcess.NotReady();
    if (reason.empty() != ready) {
      ready = reason.empty();
      LogState(LogLevel::Info,
               ready ? "ready" : "not_ready",
               { { "reason", reason } });
      if (ready) {
        std::cout << "ready" << std::endl;
      }
    }
  }
}

void
StopGracefully(Process& aProcess, const sigset_t& aSignals, Millis aTimeout)
{
  LogState(LogLevel::Info, "stopping");
  aProcess.Drain();
  const Millis end = trefoilio::MonotonicNow() + aTimeout;
  while (!aProcess.Drained() && trefoilio::MonotonicNow() < end) {
    if (StopRequested(aSignals)) {
      LogState(LogLevel::Warning, "stopped_at_once");
      break;
    }
  }
  aProcess.Stop();
  LogState(LogLevel::Info, "stopped");
}

int
Serve(const trefoilio::Settings& aSettings)
{
  // Set, as the C library would raise it with the first large block.
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  const sigset_t signals = BlockSignals();
  const bool entry = aSettings.Text("role") == "entry";
  const auto process =
    entry ? MakeEntryProcess(aSettings) : MakeSidecarProcess(aSettings);
  process->Start();
  for (const std::string& line : process->Listening()) {
    std::cout << "listening " << line << std::endl;
  }
  ServeUntilStopped(*process, signals);
  StopGracefully(
    *process, signals, Millis(aSettings.Integer("stop-seconds") * 1000));
  return EXIT_SUCCESS;
}

int
Report(const std::vector<std::string>& aFaults)
{
  for (const std::string& fault : aFaults) {
    std::cerr << "trefoilarchd: " << fault << "\n";
  }
  return kUsageError;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const trefoilio::SettingsReader reader(
    "trefoilarchd",
    "Routes language-model traffic by service levels and priorities.",
    DaemonSettings());
  const auto outcome = reader.Read(aCount, aArguments, [](const char* aName) {
    return static_cast<const char*>(std::getenv(aName));
  });
  if (outcome.mText) {
    std::cout << *outcome.mText;
    return EXIT_SUCCESS;
  }
  std::vector<std::string> faults = outcome.mFaults;
  if (outcome.mSettings) {
    const auto more = CombinedFaults(*outcome.mSettings);
    faults.insert(faults.end(), more.begin(), more.end());
  }
  if (!faults.empty()) {
    return Report(faults);
  }
  const trefoilio::Settings& settings = *outcome.mSettings;
  if (settings.CheckOnly()) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  trefoilio::ConfigureLogging(LevelOf(settings.Text("log-level")),
                              settings.Text("name"));
  try {
    return Serve(settings);
  } catch (const std::exception& error) {
    std::cerr << "trefoilarchd: " << error.what() << "\n";
    return kStartError;
  }
}
