#include "platformfleet.h"

#include "integration/await.h"

#include <criterion/criterion.h>

#include <string>

using namespace platformtest;
using integration::Await;
using trefoilarch::Millis;

/** Upstreams that fail part of what they are asked. */
namespace {

/** Requests of that route through a gate, one after another; each failure of
 * the upstream is passed on to the caller. */
void
CallOften(const PlatformFleet& aFleet, const std::string& aStart, int aTimes)
{
  for (int each = 0; each < aTimes; ++each) {
    aFleet.Call({ .mId = aStart + std::to_string(each),
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

/** The gate has the other one's address. */
bool
Knows(const PlatformFleet& aFleet, size_t aGate)
{
  const auto lines = aFleet.LogOf(aGate, "peers");
  return !lines.empty() && lines.back().at("listed") == 1;
}

} // namespace

/** Its failures come with a body, as answers do, but are none. */
Test(failures,
     three_failures_in_a_row_of_what_may_run_once_eject,
     .timeout = 30)
{
  const PlatformFleet fleet({ .mWorkers = 2 });
  fleet.SetPlan(0, "error", 3);
  for (int each = 0; each < 12 && !HasEjected(fleet, 0); ++each) {
    CallOften(fleet, "a" + std::to_string(each) + "-", 1);
  }
  cr_expect(HasEjected(fleet, 0));
}

/** Each of many entries sees few of an upstream's failures. */
Test(failures, entries_avoid_what_fails_at_others, .timeout = 30)
{
  const PlatformFleet fleet({ .mWorkers = 2, .mGates = 2, .mPeers = true });
  cr_assert(Await([&] { return Knows(fleet, 0) && Knows(fleet, 1); }));
  fleet.SetPlan(0, "error", 1000);
  const bool avoided = Await(
    [&] {
      CallOften(fleet, "b", 10);
      return HasEjected(fleet, 1);
    },
    Millis(8000));
  cr_expect(avoided, "the gate that was not asked knows");
}
