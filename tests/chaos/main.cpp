#include "chaosrun.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

constexpr int64_t kMaxSeconds = 600;

void
Print(const chaos::ChaosReport& aReport)
{
  std::cout << aReport.mRequests << " requests, " << aReport.mRepeatedKeys
            << " of them with a repeated key, " << aReport.mCallersLeft
            << " callers disconnected\n";
  size_t faults = 0;
  for (const auto& [name, count] : aReport.mFaults) {
    std::cout << "fault " << name << ": " << count << '\n';
    faults += count;
  }
  for (const auto& [name, count] : aReport.mOutcomes) {
    std::cout << "outcome " << name << ": " << count << '\n';
  }
  for (const std::string& line : aReport.mViolations) {
    std::cout << "VIOLATION " << line << '\n';
  }
  std::cout << faults << " faults, " << aReport.mViolations.size()
            << " violations\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Real processes under random faults.");
  TCLAP::ValueArg<uint64_t> seed(
    "", "seed", "seed of faults and requests", false, 1, "N", line);
  TCLAP::ValueArg<int64_t> seconds(
    "", "seconds", "length, 600 at the most", false, 30, "S", line);
  line.parse(aCount, aArguments);
  const int64_t length = std::min(seconds.getValue(), kMaxSeconds);
  std::cout << "seed " << seed.getValue() << ", " << length << " seconds"
            << std::endl;
  const chaos::ChaosReport report =
    chaos::ChaosRun({ .mSeed = seed.getValue(), .mSeconds = length }).Run();
  Print(report);
  return report.mViolations.empty() ? 0 : 1;
}
