#include "processusage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace bench {

namespace {

constexpr double kKilobytesPerMegabyte = 1024;
/** Fields between process name and user time in /proc/PID/stat. */
constexpr int kFieldsBeforeUserTime = 11;

double
ProcessorSeconds(const std::string& aDirectory)
{
  std::ifstream file(aDirectory + "stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  uint64_t user = 0;
  uint64_t system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  return static_cast<double>(user + system) / ticks;
}

} // namespace

ProcessUsage
UsageOf(pid_t aProcess)
{
  const std::string directory = "/proc/" + std::to_string(aProcess) + "/";
  ProcessUsage usage{ .mProcessorSeconds = ProcessorSeconds(directory) };
  std::ifstream file(directory + "status");
  std::string key;
  while (file >> key) {
    uint64_t value = 0;
    if (key == "RssAnon:") {
      file >> value;
      usage.mMemoryMegabytes =
        static_cast<double>(value) / kKilobytesPerMegabyte;
    } else if (key == "Threads:") {
      file >> usage.mThreads;
    }
  }
  return usage;
}

} // namespace bench
