#pragma once

#include "millis.h"
#include "pauserecord.h"
#include "prompt.h"
#include "routedemand.h"
#include "routepolicy.h"
#include "upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

struct DedicatedPoolsOptions
{
  /** Time constant by which demand decays. An entry in a large fleet sees some
   * twenty requests a second, too few for a shorter one. */
  Millis mDemandDecayTime{ 6000 };
  /** A route may get a pool of its own beside a stricter one if its prompts are
   * at least this many times as long. */
  double mPromptFactor = 2;
  /** It gets one if at least this share of the stricter route's streams
   * would have a late pause beside it. */
  double mSplitLateShare = 0.25;
  /** Share below which it loses its own pool. */
  double mMergeLateShare = 0.12;
  /** Without enough samples of pauses, a route gets a pool of its own if its
   * maximum pause is at least this many times the stricter one's. */
  double mPauseFactor = 1.4;
  /** An output token's share of a step in a well filled batch, in
   * milliseconds. */
  double mTokenMs = 0.3;
  /** Minimum share of the engines for each pool. */
  double mMinShare = 0.12;
  /** If there are too few engines for all, a pool that is busy for this share
   * of the time has enough; the most urgent comes first. Above it waits grow
   * faster than the load. */
  double mTargetUtilization = 0.75;
  /** A boundary moves when it is off by this share of the engines. A session
   * whose engine changes pools is prefilled again elsewhere. */
  double mBoundarySlack = 0.06;
  /** It must also be off by this many engines: the demand of a small fleet
   * varies more. */
  double mBoundarySlackEngines = 1.5;
};

/** The position of an engine relative to a route's pool. */
struct PoolPosition
{
  /** 0 in the route's own pool, 1 in an adjacent one, and so on. */
  uint32_t mDistance = 0;
  /** Engines between it and the nearest boundary of the route's pool, which may
   * differ at other entries. */
  uint32_t mBoundaryDistance = kFarFromBoundary;

  static constexpr uint32_t kFarFromBoundary = 1000000;
};

/** Inputs for the sizes of pools, besides the demand. */
struct PoolSizingInfo
{
  const PauseRecord& mPauses;
  /** Prompt tokens that an engine prefills in a millisecond. */
  double mPrefillPerMs = 0;
  /** Requests that an engine runs concurrently; 0 if unknown. */
  uint32_t mSlots = 0;
  /** Factor from the known to the total demand: the number of entries
   * divided by that of the entries whose demand is known here. */
  double mDemandScale = 1;
  /** Leaving engines belong to no pool. */
  std::function<bool(const ListedUpstream&)> mIsLeaving =
    [](const ListedUpstream& aUpstream) { return aUpstream.mLeaving; };
};

/** By engine. */
using PoolPositions = std::unordered_map<UpstreamId, PoolPosition>;

/**
 * Separates long prompts from streams that don't allow long pauses. An engine
 * prefills prompts between the tokens of its running responses, so a few long
 * prompts in a row pause all of them. The observed pauses decide: if engines
 * prefill in short chunks there is one pool, and any engine may take any
 * request. A service's engines are sorted in an order that is the same at all
 * entries, and are assigned to the pools in that order, longest prompts first,
 * by demand.
 */
class DedicatedPools
{
public:
  explicit DedicatedPools(DedicatedPoolsOptions aOptions = {});

  /** aOpen: the route's requests that have not ended. */
  void OnRequest(const std::string& aService,
                 const Route& aRoute,
                 const PromptShape& aPrompt,
                 Millis aNow,
                 double aOpen = 0);
  /** The demand at this entry, for updates to peers. */
  std::vector<RouteDemand> Demands(Millis aNow);
  void OnPeerDemands(const std::string& aFrom,
                     const std::vector<RouteDemand>& aDemands,
                     Millis aNow);
  /** Whether recent updates of peers show that the service's upstreams have
   * enough less urgent requests, which can be rejected first. Peers that
   * aIsIgnored names don't count. */
  bool PeersSendLessUrgent(
    const std::string& aService,
    uint8_t aUrgency,
    Millis aNow,
    const std::function<bool(const std::string&)>& aIsIgnored) const;

  /**
   * The position of each engine relative to the route's pool. Computed at most
   * four times a second, since thousands of engines take a millisecond. An
   * engine that was added since has no position yet.
   */
  const PoolPositions& PositionsFor(
    const std::string& aService,
    const Route& aRoute,
    const std::vector<const ListedUpstream*>& aAll,
    const PoolSizingInfo& aInfo,
    Millis aNow);

private:
  /** A decaying demand and the time of its last update. */
  struct Demand
  {
    RouteDemand mSums;
    Millis mAt;
  };
  struct PeerDemands
  {
    std::vector<Demand> mDemands;
    Millis mAt;
  };
  /** Routes that share engines, and their load. */
  struct Pool
  {
    std::vector<std::string> mRoutes;
    Millis mMaxPause;
    double mMeanPrompt = 0;
    /** Engines that its load would keep busy all the time. */
    double mEnginesNeeded = 0;
    /** Of its most urgent route. */
    uint8_t mUrgency = 0;
  };
  struct CachedPositions
  {
    PoolPositions mPositions;
    Millis mValidUntil;
  };
  struct Service
  {
    std::map<std::string, Demand> mRoutes;
    /** Upper boundary of each pool but the last, as shares of the engines. */
    std::vector<double> mBoundaries;
    std::map<std::string, CachedPositions> mCachedPositions;
    /** Routes that have a pool of their own beside a stricter one. */
    std::set<std::string> mSplitRoutes;
  };

  PoolPositions ComputePositions(const std::string& aService,
                                 const Route& aRoute,
                                 const std::vector<const ListedUpstream*>& aAll,
                                 const PoolSizingInfo& aInfo,
                                 Millis aNow);
  /** The pool of each engine in the order. */
  static std::vector<size_t> PoolOfEachEngine(const Service& aService,
                                              size_t aEngines);
  void Decay(Demand& aDemand, Millis aNow) const;
  /** The service's routes with their demand at all known entries. */
  std::map<std::string, RouteDemand> TotalDemand(const std::string& aService,
                                                 Millis aNow);
  /** Each pool's share of the engines. */
  std::vector<double> SharesOf(const std::vector<Pool>& aPools,
                               size_t aEngines) const;
  /** Engines that a route would keep busy all the time, by its work or by its
   * slots, whichever needs more. */
  double EnginesFor(const RouteDemand& aDemand,
                    const PoolSizingInfo& aInfo) const;
  /** Pools from the longest prompts to the strictest streams. */
  std::vector<Pool> PoolsFor(Service& aService,
                             const std::map<std::string, RouteDemand>& aDemands,
                             const PoolSizingInfo& aInfo) const;
  /** Whether the route's prompts delay the streams of the stricter pool too
   * much. */
  bool NeedsOwnPool(Service& aService,
                    const RouteDemand& aDemand,
                    const Pool& aStricter,
                    const PoolSizingInfo& aInfo) const;
  void MoveBoundaries(Service& aService,
                      const std::vector<double>& aShares,
                      size_t aEngines) const;

  DedicatedPoolsOptions mOptions;
  std::map<std::string, Service> mServices;
  /** By entry. */
  std::map<std::string, PeerDemands> mPeerDemands;
};

} // namespace trefoilarch
