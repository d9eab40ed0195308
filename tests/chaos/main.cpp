#include "chaosrun.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

constexpr int64_t kMostSeconds = 600;

void
Print(const chaos::ChaosReport& aReport)
{
  std::cout << aReport.mRequests << " requests, " << aReport.mRepeats
            << " of them repeats of a key, " << aReport.mLeft
            << " callers left\n";
  size_t faults = 0;
  for (const auto& [name, count] : aReport.mFaults) {
    std::cout << "fault " << name << ": " << count << '\n';
    faults += count;
  }
  for (const auto& [name, count] : aReport.mOutcomes) {
    std::cout << "outcome " << name << ": " << count << '\n';
  }
  for (const std::string& line : aReport.mBroken) {
    std::cout << "BROKEN " << line << '\n';
  }
  std::cout << faults << " faults, " << aReport.mBroken.size()
            << " broken promises\n";
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
  const int64_t length = std::min(seconds.getValue(), kMostSeconds);
  std::cout << "seed " << seed.getValue() << ", " << length << " seconds"
            << std::endl;
  const chaos::ChaosReport report =
    chaos::ChaosRun({ .mSeed = seed.getValue(), .mSeconds = length }).Go();
  Print(report);
  return report.mBroken.empty() ? 0 : 1;
}
