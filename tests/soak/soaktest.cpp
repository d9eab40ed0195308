#include "soakrun.h"

#include <criterion/criterion.h>

namespace {

/** Runs one seed; each violation fails the test. */
void
RunSeed(uint64_t aSeed)
{
  soak::SoakRun run({ .mSeed = aSeed, .mSeconds = 8 });
  const soak::SoakResult result = run.Run();
  for (const std::string& violation : result.mViolations) {
    cr_expect(false, "seed %d: %s", static_cast<int>(aSeed), violation.c_str());
  }
  cr_expect(result.mServed > 50);
  cr_expect(result.mFaults > 3);
}

} // namespace

Test(soak, first_seed_has_no_violations, .timeout = 120)
{
  RunSeed(1);
}

Test(soak, second_seed_has_no_violations, .timeout = 120)
{
  RunSeed(2);
}
