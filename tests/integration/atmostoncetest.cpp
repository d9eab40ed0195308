#include "await.h"
#include "faults.h"
#include "fleet.h"
#include "verdict.h"

#include "libtrefoilio/systemclock.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
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
  return { .mEngines = 2,
           .mEntries = 2,
           .mProxyChannels = true,
           .mProxyUpstreams = true,
           .mSidecarFlags = { "--most-running", "2" } };
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

/** How far the requests at the engines are when the fault strikes. */
enum class Moment
{
  Started,   /**< sent to the engine, which has said nothing yet */
  Answering, /**< some answers are under way, other requests wait */
};

void
SetStalled(Fleet& aFleet, size_t aEngine, bool aStalled)
{
  aFleet.Upstream(aEngine).Control({ { "stall", aStalled } });
}

/** Sends the first wave, and waits until the moment has come. */
void
ReachMoment(Fleet& aFleet, Calls& aCalls, Moment aMoment)
{
  if (aMoment == Moment::Answering) {
    SendWave(aFleet, aCalls, 10);
    cr_assert(aCalls.front()->AwaitBytes(300));
    return;
  }
  SetStalled(aFleet, 0, true);
  SetStalled(aFleet, 1, true);
  SendWave(aFleet, aCalls, 10);
  cr_assert(Await([&] { return aFleet.Executions().size() == 4; }));
  SetStalled(aFleet, 1, false);
}

std::vector<std::string>
BrokenPromises(const Fleet& aFleet, const Calls& aCalls, const Fault& aFault)
{
  std::vector<std::string> all;
  for (size_t i = 0; i < aCalls.size(); ++i) {
    const bool dies = aFault.mEntryDies && i % 2 == 0;
    const std::string broken = FindViolation(
      aFleet, *aCalls[i], { .mIdempotent = false, .mEntryMayDie = dies });
    if (!broken.empty()) {
      all.push_back(broken);
    }
  }
  return all;
}

/**
 * Strikes at the moment and sends more requests at once; heals after longer
 * than silence takes to be found.
 */
void
CheckAtMostOnce(const Fault& aFault, Moment aMoment)
{
  Fleet fleet(Crowded());
  Calls calls;
  ReachMoment(fleet, calls, aMoment);
  aFault.mInject(fleet, 0);
  SendWave(fleet, calls, 4);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  aFault.mUndo(fleet, 0);
  SetStalled(fleet, 0, false);
  for (const std::string& broken : BrokenPromises(fleet, calls, aFault)) {
    cr_expect(false, "%s: %s", aFault.mName.c_str(), broken.c_str());
  }
  const bool anyWhole = std::ranges::any_of(calls, [](const auto& aCall) {
    return aCall->Record().mOutcome == CallOutcome::Complete;
  });
  cr_assert(anyWhole, "%s: nothing was answered", aFault.mName.c_str());
}

void
CheckAtMostOnce(const std::string& aFault)
{
  CheckAtMostOnce(FaultNamed(aFault), Moment::Started);
  CheckAtMostOnce(FaultNamed(aFault), Moment::Answering);
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

Test(atmostonce, sidecar_gone_for_good)
{
  Fault fault = FaultNamed("sidecar killed");
  fault.mUndo = [](Fleet&, size_t) {};
  CheckAtMostOnce(fault, Moment::Started);
  CheckAtMostOnce(fault, Moment::Answering);
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
