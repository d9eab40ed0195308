#include "platformfleet.h"

#include <criterion/criterion.h>

#include <string>

using namespace platformtest;

/** Upstreams that fail some of their requests. */
namespace {

/** Sends requests of this route through a gate one after another; each failure
 * of the upstream is forwarded to the caller. */
void
SendRequests(const PlatformFleet& aFleet,
             const std::string& aIdPrefix,
             int aTimes)
{
  for (int each = 0; each < aTimes; ++each) {
    aFleet.Call({ .mId = aIdPrefix + std::to_string(each),
                  .mMethod = "POST",
                  .mPath = "/once/x" });
  }
}

bool
HasEjected(const PlatformFleet& aFleet, size_t aGate)
{
  return aFleet.Metrics(aGate).find(
           "trefoilarch_gate_upstreams{state=\"ejected\"} 1\n") !=
         std::string::npos;
}

} // namespace

/** The failures have a body, as successful answers do. */
Test(failures,
     three_failures_in_a_row_of_what_may_run_once_eject,
     .timeout = 30)
{
  constexpr size_t kFailures = 3;
  // By chance, all of twelve requests may go to the other upstream.
  constexpr int kMaxRequests = 60;
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.SetPlan(0, "error", kFailures);
  for (int each = 0; each < kMaxRequests && fleet.Runs(0).size() < kFailures;
       ++each) {
    cr_expect(!HasEjected(fleet, 0));
    SendRequests(fleet, "a" + std::to_string(each) + "-", 1);
  }
  cr_assert(fleet.Runs(0).size() == kFailures);
  cr_expect(HasEjected(fleet, 0));
}
