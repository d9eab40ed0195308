#include "libtrefoilarch/retrybudget.h"

#include "virtualfleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

int
CallsOf(const VirtualFleet& aFleet)
{
  int calls = 0;
  for (const auto& [name, count] : aFleet.Calls()) {
    calls += count;
  }
  return calls;
}

} // namespace

Test(retrybudget, retries_stay_a_share_of_first_attempts_in_any_order)
{
  const bool holds =
    rc::check("retries stay a share of first attempts in any order",
              [](const std::vector<bool>& aEvents) {
                RetryBudget budget({ .mPercent = 10 });
                int first = 0;
                int retries = 0;
                for (const bool retry : aEvents) {
                  if (retry) {
                    retries += budget.TakeRetry("agents") ? 1 : 0;
                  } else {
                    budget.OnFirstAttempt("agents");
                    first++;
                  }
                  RC_ASSERT(retries <= 3 + first * 0.1 + 1e-6);
                }
                RC_ASSERT(budget.TakeRetry("others"));
              });
  cr_assert(holds);
}

Test(retrybudget, no_storm_when_every_upstream_fails)
{
  for (const VirtualEngines& engines :
       { VirtualEngines{ .mRefuse = 1 }, VirtualEngines{ .mCrash = 1 } }) {
    VirtualFleet fleet(7, 6, engines, AnyUpstream());
    constexpr int kRequests = 1000;
    for (int i = 0; i < kRequests; i++) {
      fleet.At(Millis(2000 + i * 10),
               [&fleet] { fleet.SendRequest(true, Millis(20000)); });
    }
    fleet.Run(Millis(60000));
    cr_assert_leq(CallsOf(fleet), 1.1 * kRequests + 3);
    for (const auto& [id, caller] : fleet.Callers()) {
      cr_assert(caller.mRefusal->mRetryAfter >= Millis(1000));
      const bool unknown = caller.mRuns > 0 || caller.mRefusal->mKind ==
                                                 ErrorKind::DeadlineExceeded;
      cr_assert(unknown || caller.mRefusal->mRan == Ran::No);
    }
  }
}

Test(retrybudget, no_storm_when_half_of_the_upstreams_disconnect)
{
  VirtualFleet fleet(7, 6, {}, AnyUpstream());
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; i++) {
    fleet.At(Millis(2000 + i * 10),
             [&fleet, i] { fleet.SendRequest(i % 2 == 0, Millis(20000)); });
  }
  for (const char* name : { "engine-0", "engine-1", "engine-2" }) {
    fleet.At(Millis(10000),
             [&fleet, name] { fleet.Isolate(name, Millis(70000)); });
  }
  fleet.Run(Millis(100000));
  cr_assert_leq(CallsOf(fleet), 1.1 * kRequests + 3);
  int lost = 0;
  for (const auto& [id, caller] : fleet.Callers()) {
    cr_assert(caller.mIdempotent || caller.mRuns <= 1);
    lost += caller.mComplete ? 0 : 1;
  }
  const int running = 60;
  cr_assert_leq(lost, running, "only requests that were running then");
}

Test(retrybudget, all_entries_together_stay_within_the_slack)
{
  for (const double slack : { 0.0, 36.2, 54.0, 246.0, 1000.0 }) {
    for (const size_t entries : { 1U, 4U, 5U, 31U, 103U, 340U }) {
      const double each = RetriesPerEntry(slack, entries);
      cr_expect(each * static_cast<double>(entries) <= slack + 1e-9,
                "%g of %zu entries",
                slack,
                entries);
    }
  }
}

Test(retrybudget, an_entry_of_an_unknown_fleet_gets_one_retry)
{
  cr_expect(RetriesPerEntry(246, 0) == 1);
  cr_expect(RetriesPerEntry(0, 0) == 0);
}
