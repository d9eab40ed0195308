#include "await.h"
#include "faults.h"
#include "fleet.h"
#include "verdict.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <thread>

using namespace integration;
using trefoilload::CallOutcome;

namespace {

/** What hangs on a silent upstream ends by it. */
const trefoilio::HttpHeaders kDeadline = { { "X-Trefoilarch-Deadline-Ms",
                                             "8000" } };

using Calls = std::vector<std::unique_ptr<OpenCall>>;

/** Little room at each upstream, so that requests wait, start and run. */
FleetOptions
Crowded()
{
  FleetOptions options;
  options.mEngines = 2;
  options.mEntries = 2;
  options.mProxyChannels = true;
  options.mProxyUpstreams = true;
  options.mSidecarFlags = { "--most-running", "2" };
  return options;
}

/** Requests that may run once, from both entries, streamed and not. */
void
SendWave(Fleet& aFleet, Calls& aCalls, size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    const auto request = OnceRequest("drafting", 150, i % 4 != 3);
    aCalls.push_back(aFleet.Send(request, i % 2, kDeadline));
  }
}

/**
 * Strikes while some requests run, some wait and some are about to start, and
 * sends more at once; heals after longer than silence takes to be found.
 */
void
CheckAtMostOnce(const std::string& aFault)
{
  const Fault fault = FaultNamed(aFault);
  Fleet fleet(Crowded());
  Calls calls;
  SendWave(fleet, calls, 10);
  cr_assert(calls.front()->AwaitBytes(300));
  fault.mStrike(fleet, 0);
  SendWave(fleet, calls, 4);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  fault.mHeal(fleet, 0);
  std::map<std::string, size_t> outcomes;
  for (size_t i = 0; i < calls.size(); ++i) {
    const bool dies = fault.mEntryDies && i % 2 == 0;
    const std::string broken = BrokenPromise(
      fleet, *calls[i], { .mIdempotent = false, .mEntryMayDie = dies });
    cr_expect(broken.empty(), "%s: %s", aFault.c_str(), broken.c_str());
    ++outcomes[Name(calls[i]->Record().mOutcome)];
  }
  cr_assert(outcomes["whole"] > 0, "%s: nothing was answered", aFault.c_str());
}

} // namespace

Test(atmostonce, entry_killed)
{
  CheckAtMostOnce("entry killed");
}

Test(atmostonce, entry_frozen)
{
  CheckAtMostOnce("entry frozen");
}

Test(atmostonce, sidecar_killed)
{
  CheckAtMostOnce("sidecar killed");
}

Test(atmostonce, sidecar_frozen)
{
  CheckAtMostOnce("sidecar frozen");
}

Test(atmostonce, engine_killed)
{
  CheckAtMostOnce("engine killed");
}

Test(atmostonce, engine_frozen)
{
  CheckAtMostOnce("engine frozen");
}

Test(atmostonce, channel_cut)
{
  CheckAtMostOnce("channel cut");
}

Test(atmostonce, channel_silent_up)
{
  CheckAtMostOnce("channel silent up");
}

Test(atmostonce, channel_silent_down)
{
  CheckAtMostOnce("channel silent down");
}

Test(atmostonce, channel_silent_both)
{
  CheckAtMostOnce("channel silent both");
}

Test(atmostonce, channel_half_open_up)
{
  CheckAtMostOnce("channel half-open up");
}

Test(atmostonce, channel_half_open_down)
{
  CheckAtMostOnce("channel half-open down");
}

Test(atmostonce, upstream_link_cut)
{
  CheckAtMostOnce("upstream link cut");
}

Test(atmostonce, upstream_link_silent_up)
{
  CheckAtMostOnce("upstream link silent up");
}

Test(atmostonce, upstream_link_silent_down)
{
  CheckAtMostOnce("upstream link silent down");
}

Test(atmostonce, upstream_link_silent_both)
{
  CheckAtMostOnce("upstream link silent both");
}

Test(atmostonce, upstream_link_half_open_up)
{
  CheckAtMostOnce("upstream link half-open up");
}

Test(atmostonce, upstream_link_half_open_down)
{
  CheckAtMostOnce("upstream link half-open down");
}
