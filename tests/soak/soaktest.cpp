#include "soakrun.h"

#include <criterion/criterion.h>

namespace {

/** A seed's run; each promise that it breaks fails the test. */
void
RunSeed(uint64_t aSeed)
{
  soak::SoakRun run({ .mSeed = aSeed, .mSeconds = 8 });
  const soak::SoakResult result = run.Run();
  for (const std::string& promise : result.mBroken) {
    cr_expect(false, "seed %d: %s", static_cast<int>(aSeed), promise.c_str());
  }
  cr_expect(result.mServed > 50);
  cr_expect(result.mFaults > 3);
}

} // namespace

Test(soak, a_short_run_keeps_every_promise, .timeout = 120)
{
  RunSeed(1);
}

Test(soak, another_short_run_keeps_every_promise, .timeout = 120)
{
  RunSeed(2);
}
