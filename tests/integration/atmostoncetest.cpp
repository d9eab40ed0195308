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

/** Ends requests that hang on a silent upstream. */
const trefoilio::HttpHeaders kDeadline = { { "X-Trefoilarch-Deadline-Ms",
                                             "8000" } };

using Calls = std::vector<std::unique_ptr<OpenCall>>;

/** Low capacity of each upstream, so that requests wait, start and run. */
FleetOptions
LowCapacity()
{
  return { .mEngines = 2,
           .mEntries = 2,
           .mProxyChannels = true,
           .mProxyUpstreams = true,
           .mSidecarFlags = { "--most-running", "2" } };
}

/** Sends non-idempotent requests to both entries, streamed and not. */
void
SendBatch(Fleet& aFleet, Calls& aCalls, size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    const auto request = OnceRequest("drafting", 150, i % 4 != 3);
    aCalls.push_back(aFleet.Send(request, i % 2, kDeadline));
  }
}

/** Progress of the requests at the engines when the fault is injected. */
enum class Phase
{
  Started,   /**< sent to the engine, which has sent nothing yet */
  Answering, /**< some responses are streaming, other requests wait */
};

void
SetStalled(Fleet& aFleet, size_t aEngine, bool aStalled)
{
  aFleet.Upstream(aEngine).Control({ { "stall", aStalled } });
}

/** Sends the first batch and waits until it has reached the phase. */
void
ReachPhase(Fleet& aFleet, Calls& aCalls, Phase aPhase)
{
  if (aPhase == Phase::Answering) {
    SendBatch(aFleet, aCalls, 10);
    cr_assert(aCalls.front()->AwaitBytes(300));
    return;
  }
  SetStalled(aFleet, 0, true);
  SetStalled(aFleet, 1, true);
  SendBatch(aFleet, aCalls, 10);
  cr_assert(Await([&] { return aFleet.Executions().size() == 4; }));
  SetStalled(aFleet, 1, false);
}

std::vector<std::string>
FindViolations(const Fleet& aFleet, const Calls& aCalls, const Fault& aFault)
{
  std::vector<std::string> violations;
  for (size_t i = 0; i < aCalls.size(); ++i) {
    const bool entryDies = aFault.mEntryDies && i % 2 == 0;
    const std::string violation = FindViolation(
      aFleet, *aCalls[i], { .mIdempotent = false, .mEntryMayDie = entryDies });
    if (!violation.empty()) {
      violations.push_back(violation);
    }
  }
  return violations;
}

/**
 * Injects the fault in the phase and sends more requests at once; undoes it
 * after longer than the detection of silence takes.
 */
void
CheckAtMostOnce(const Fault& aFault, Phase aPhase)
{
  Fleet fleet(LowCapacity());
  Calls calls;
  ReachPhase(fleet, calls, aPhase);
  aFault.mInject(fleet, 0);
  SendBatch(fleet, calls, 4);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  aFault.mUndo(fleet, 0);
  SetStalled(fleet, 0, false);
  for (const std::string& violation : FindViolations(fleet, calls, aFault)) {
    cr_expect(false, "%s: %s", aFault.mName.c_str(), violation.c_str());
  }
  const bool anyComplete = std::ranges::any_of(calls, [](const auto& aCall) {
    return aCall->Record().mOutcome == CallOutcome::Complete;
  });
  cr_assert(anyComplete, "%s: no request was completed", aFault.mName.c_str());
}

void
CheckAtMostOnce(const std::string& aFault)
{
  CheckAtMostOnce(FindFault(aFault), Phase::Started);
  CheckAtMostOnce(FindFault(aFault), Phase::Answering);
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

Test(atmostonce, sidecar_killed_and_not_restarted)
{
  Fault fault = FindFault("sidecar killed");
  fault.mUndo = [](Fleet&, size_t) {};
  CheckAtMostOnce(fault, Phase::Started);
  CheckAtMostOnce(fault, Phase::Answering);
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
