#include "soakrun.h"

#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Runs gates, workers and a store under random faults.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "first seed", false, 1, "N", line);
  TCLAP::ValueArg<int> seeds("", "seeds", "how many", false, 1, "N", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "each", false, 10, "S", line);
  line.parse(aCount, aArguments);
  int failedSeeds = 0;
  for (int each = 0; each < seeds.getValue(); ++each) {
    const uint64_t number = seed.getValue() + static_cast<uint64_t>(each);
    soak::SoakRun run({ .mSeed = number, .mSeconds = seconds.getValue() });
    const soak::SoakResult result = run.Run();
    std::cout << "seed " << number << ": " << result.mRequests << " requests, "
              << result.mServed << " served, " << result.mFaults << " faults, "
              << result.mViolations.size() << " violations" << std::endl;
    for (const std::string& violation : result.mViolations) {
      std::cout << "  " << violation << std::endl;
    }
    failedSeeds += result.mViolations.empty() ? 0 : 1;
  }
  return failedSeeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
