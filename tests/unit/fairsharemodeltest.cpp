#include "fairsharemodel.h"

#include <criterion/criterion.h>
#include <cstdio>

using namespace fairsharemodel;

namespace {

void
ExpectKept(const ModelOptions& aOptions)
{
  const Exploration result = Explore(aOptions);
  std::printf("%d steps: %lu states\n",
              aOptions.mDepth,
              static_cast<unsigned long>(result.mStates));
  cr_expect(result.mViolation.empty(), "%s", result.mViolation.c_str());
  cr_expect_gt(result.mStates, 10000);
  cr_expect_gt(result.mRefusals, 0);
}

} // namespace

Test(fairsharemodel, lost_or_doubled_updates_do_not_falsify_the_demand)
{
  ExpectKept(
    { .mDepth = 6, .mLosses = 2, .mDuplicates = 2, .mKills = 0, .mCuts = 0 });
}

Test(fairsharemodel, killed_or_cut_off_entries_do_not_falsify_the_demand)
{
  ExpectKept(
    { .mDepth = 6, .mLosses = 0, .mDuplicates = 0, .mKills = 2, .mCuts = 2 });
}

Test(fairsharemodel, all_faults_together_do_not_falsify_the_demand)
{
  ExpectKept({ .mDepth = 6 });
}

Test(fairsharemodel, model_finds_older_updates_that_replace_newer)
{
  const Exploration result = Explore({ .mDropsOlder = false });
  cr_expect(result.mViolation.starts_with("demand isn't"),
            "%s",
            result.mViolation.c_str());
}

Test(fairsharemodel, model_finds_demand_that_never_lapses)
{
  const Exploration result = Explore({ .mDepth = 10, .mLapses = false });
  cr_expect(result.mViolation.starts_with("demand isn't"),
            "%s",
            result.mViolation.c_str());
}
