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

/** One request of a caller: its place in the trace, and how often it has been
 * asked before. */
struct CallerRequest
{
  size_t mIndex = 0;
  uint64_t mRepeat = 0;

  auto operator<=>(const CallerRequest&) const = default;
};

/** What a router tells a caller. */
struct CallerHooks
{
  std::function<void(CallerRequest)> mOnToken;
  std::function<void(CallerRequest)> mOnWhole;
  std::function<void(CallerRequest, trefoilarch::Refusal)> mOnRefused;
};

/** What was spent for a caller's request in one execution. */
struct Spent
{
  CallerRequest mRequest;
  double mCost = 0;
  bool mWhole = false;
};

/** A way to route a trace's requests to its engines. */
class Router
{
public:
  virtual ~Router() = default;
  virtual void Submit(CallerRequest aRequest) = 0;
  virtual void Leave(CallerRequest aRequest) = 0;
  virtual void Apply(const TraceFault& aFault) = 0;
  /** Every execution that is over. */
  virtual std::vector<Spent> Executions() const = 0;
  /** Prompt tokens that the engines read, where the router counts them. */
  virtual uint64_t PrefilledTokens() const { return 0; }
  /** For the report's details; may be empty. */
  virtual std::string Dump() const { return {}; }
};

using RouterMaker = std::function<
  std::unique_ptr<Router>(VirtualTime&, const Trace&, CallerHooks)>;

/** The library: an EntryCore for each entry, a SidecarCore by each engine. */
std::unique_ptr<Router>
MakeDesign(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

/** How gates are made for a replay. */
struct GatesOptions
{
  /** Whether entries tell each other what they send. */
  bool mPeers = false;
  /** How many of the next entries each one tells, and how often at the most: a
   * large fleet's entries tell some, less often. */
  size_t mMostTold = SIZE_MAX;
  Millis mTellSpan{ 20 };
  /** Empty for the gates' own way to place requests. */
  trefoilarch::PlacementCost mPlacementCost;
};

/** The library without sidecars: a DirectRouter for each entry, straight to
 * the engines, whose load it knows by their answers. */
std::unique_ptr<Router>
MakeGates(VirtualTime& aTime,
          const Trace& aTrace,
          CallerHooks aHooks,
          const GatesOptions& aOptions = {});

/** Baseline: engines in rotation, each first in, first out. */
std::unique_ptr<Router>
MakeRoundRobin(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

/**
 * Baseline: of two engines drawn at random the one with less by its last
 * report, bound at once; reports come each 500 ms and are 500 ms old. The
 * engines honour the tiers.
 */
std::unique_ptr<Router>
MakeTwoChoices(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks);

} // namespace replay
