#pragma once

#include "libtrefoilarch/errors.h"
#include "libtrefoilarch/workplacement.h"
#include "trace.h"
#include "virtualengine.h"
#include "virtualtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace replay {

/** One submission of a caller's request: its index in the trace, and the number
 * of earlier submissions. */
struct CallerRequest
{
  size_t mIndex = 0;
  uint64_t mRetry = 0;

  auto operator<=>(const CallerRequest&) const = default;
};

/** Callbacks through which a router reports to callers. */
struct CallerHooks
{
  std::function<void(CallerRequest)> mOnToken;
  std::function<void(CallerRequest)> mOnComplete;
  std::function<void(CallerRequest, trefoilarch::Refusal)> mOnRefused;
};

/** The cost of one execution of a caller's request. */
struct ExecutionCost
{
  CallerRequest mRequest;
  double mCost = 0;
  bool mComplete = false;
};

/** Routes a trace's requests to its engines. */
class Router
{
public:
  virtual ~Router() = default;
  virtual void Submit(CallerRequest aRequest) = 0;
  virtual void Abandon(CallerRequest aRequest) = 0;
  virtual void Apply(const TraceFault& aFault) = 0;
  /** All executions that have ended. */
  virtual std::vector<ExecutionCost> Executions() const = 0;
  /** Prompt tokens that the engines prefilled; 0 if not counted. */
  virtual uint64_t PrefilledTokens() const { return 0; }
  /** State for the detailed report; may be empty. */
  virtual std::string Dump() const { return {}; }
};

using RouterMaker = std::function<
  std::unique_ptr<Router>(VirtualTime&, const Trace&, CallerHooks)>;

/** The library with one EntryCore per entry and one SidecarCore per engine. */
std::unique_ptr<Router>
MakeSidecarRouter(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

/** Options for a router of gates in a replay. */
struct GateRouterOptions
{
  /** Whether entries send each other updates about the requests they send. */
  bool mSendsPeerUpdates = false;
  /** How many of the next entries each one updates, and the minimum interval
   * between updates. A large fleet's entries update only some, less often. */
  size_t mMaxUpdatedPeers = SIZE_MAX;
  Millis mPeerUpdateInterval{ 20 };
  /** Empty for the library's own placement cost. */
  trefoilarch::PlacementCost mPlacementCost;
};

/** The library without sidecars: one DirectRouter per entry sends straight to
 * the engines and learns their load from their responses. */
std::unique_ptr<Router>
MakeGateRouter(VirtualTime& aTime,
               const Trace& aTrace,
               CallerHooks aHooks,
               const GateRouterOptions& aOptions = {});

/** Baseline: round robin over the engines, each first in, first out. */
std::unique_ptr<Router>
MakeRoundRobin(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

/**
 * Baseline: binds each request on arrival to the less loaded of two random
 * engines by their last reports, which come every 500 ms and are 500 ms old.
 * The engines honour the tiers.
 */
std::unique_ptr<Router>
MakeTwoChoices(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

} // namespace replay
