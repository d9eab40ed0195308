#pragma once

#include "millis.h"
#include "pauserecord.h"
#include "prompt.h"
#include "routedemand.h"
#include "routepolicy.h"
#include "upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** How DedicatedPools divides a service's engines. */
struct DedicatedPoolsOptions
{
  /** Demand fades by this time constant; an entry of many sees some twenty
   * requests a second, too few for a shorter one. */
  Millis mDemandDecayTime{ 6000 };
  /** A route may have a lane of its own beside a stricter one if its prompts
   * are this many times as long... */
  double mPromptFactor = 2;
  /** ...and this share of the stricter one's streams would be late by a pause
   * beside it. */
  double mSplitLateShare = 0.25;
  /** It keeps the lane until the share is below this. */
  double mMergeLateShare = 0.12;
  /** While too little was seen of pauses: it has a lane of its own if it
   * allows this many times the pause. */
  double mPauseFactor = 1.4;
  /** An output token's share of a step in a well filled batch, in ms. */
  double mTokenMs = 0.3;
  /** Every lane has at least this share of the engines. */
  double mMinShare = 0.12;
  /** Where there are too few engines for all, a lane has enough if it is busy
   * for this share of the time; the most urgent lane is the first to have it.
   * Beyond it, waits grow faster than the load. */
  double mTargetUtilization = 0.75;
  /** A boundary moves when it is off by this share of the engines: a session
   * whose engine changes lanes is read again elsewhere. */
  double mBoundarySlack = 0.06;
  /** ...and by this many engines: a small fleet's demand wavers more. */
  double mBoundarySlackEngines = 1.5;
};

/** Where an engine is, as seen from a route. */
struct PoolPosition
{
  /** 0 in the route's own lane, 1 in the next one, and so on. */
  uint32_t mDistance = 0;
  /** Engines between it and the nearest boundary of the route's lane: other
   * entries may have the boundary elsewhere. */
  uint32_t mBoundaryDistance = kFarFromBoundary;

  static constexpr uint32_t kFarFromBoundary = 1000000;
};

/** What lanes are worked out from, besides the demand. */
struct PoolSizingInfo
{
  const PauseRecord& mPauses;
  /** Prompt tokens that an engine reads in a millisecond. */
  double mPrefillPerMs = 0;
  /** Requests that an engine runs at once; 0: not known. */
  uint32_t mSlots = 0;
  /** How many times what is known of the demand the whole is: entries for each
   * one whose demand is known here. */
  double mDemandScale = 1;
};

/** By engine. */
using PoolPositions = std::unordered_map<UpstreamId, PoolPosition>;

/**
 * Keeps long prompts away from streams that allow no long pause: an engine
 * reads prompts between the tokens of the requests beside them, so a few long
 * ones in a row are a pause for all. How long a pause is the engines show:
 * where they read in chunks that are short enough, there are no lanes, and any
 * engine may take what the others have no room for. A service's engines are put
 * in an order that all entries work out alike, and are dealt to the lanes in
 * that order, longest prompts first, by the work that this entry sees for each.
 */
class DedicatedPools
{
public:
  explicit DedicatedPools(DedicatedPoolsOptions aOptions = {});

  /** A request of the route came; aOpen: those that have not ended. */
  void OnRequest(const std::string& aService,
                 const Route& aRoute,
                 const PromptShape& aPrompt,
                 Millis aNow,
                 double aOpen = 0);
  /** What came to this entry, for others to know. */
  std::vector<RouteDemand> Demands(Millis aNow);
  /** What came to another entry, by its own word. */
  void OnPeerDemands(const std::string& aFrom,
                     const std::vector<RouteDemand>& aDemands,
                     Millis aNow);
  /** By what others told of late, enough of their requests at upstreams of the
   * service are less urgent to be refused first. */
  bool PeersSendLessUrgent(const std::string& aService,
                           uint8_t aUrgency,
                           Millis aNow) const;

  /**
   * How far each engine is from the route's lane. Worked out four times
   * a second at the most, as thousands of engines take a millisecond; an engine
   * that has come since is in no lane yet.
   */
  const PoolPositions& PositionsFor(
    const std::string& aService,
    const Route& aRoute,
    const std::vector<const ListedUpstream*>& aAll,
    const PoolSizingInfo& aFacts,
    Millis aNow);

private:
  /** A demand as of that instant. */
  struct Demand
  {
    RouteDemand mSums;
    Millis mAt;
  };
  /** What another entry told, and when. */
  struct Told
  {
    std::vector<Demand> mDemands;
    Millis mAt;
  };
  /** Routes that share engines, and their work. */
  struct Lane
  {
    std::vector<std::string> mRoutes;
    Millis mMaxPause;
    double mPrompt = 0;
    /** Engines that it would keep busy without a break. */
    double mEngines = 0;
    /** Of its most urgent route. */
    uint8_t mUrgency = 0;
  };
  /** A route's distances and until when they are good. */
  struct Known
  {
    PoolPositions mPlaces;
    Millis mUntil;
  };
  struct Service
  {
    std::map<std::string, Demand> mRoutes;
    /** Where each lane but the last ends, as shares of the engines. */
    std::vector<double> mEnds;
    std::map<std::string, Known> mKnown;
    /** Routes with a lane of their own beside a stricter one. */
    std::set<std::string> mApart;
  };

  PoolPositions WorkOut(const std::string& aService,
                        const Route& aRoute,
                        const std::vector<const ListedUpstream*>& aAll,
                        const PoolSizingInfo& aFacts,
                        Millis aNow);
  /** The lane of each place in the order. */
  static std::vector<size_t> LanesInOrder(const Service& aService,
                                          size_t aEngines);
  void Fade(Demand& aDemand, Millis aNow) const;
  /** The service's routes with what came of them here and elsewhere. */
  std::map<std::string, RouteDemand> WholeDemand(const std::string& aService,
                                                 Millis aNow);
  /** Each lane's share of the engines. */
  std::vector<double> SharesOf(const std::vector<Lane>& aLanes,
                               size_t aEngines) const;
  /** Engines that a route would keep busy without a break: by what they have to
   * do for it, or by the slots that it holds, whichever is scarcer. */
  double EnginesFor(const RouteDemand& aDemand,
                    const PoolSizingInfo& aFacts) const;
  /** From the longest prompts to the strictest streams. */
  std::vector<Lane> LanesOf(Service& aService,
                            const std::map<std::string, RouteDemand>& aDemands,
                            const PoolSizingInfo& aFacts) const;
  /** The route's prompts hold up the lane's streams. */
  bool IsApart(Service& aService,
               const RouteDemand& aDemand,
               const Lane& aStricter,
               const PoolSizingInfo& aFacts) const;
  void MoveEnds(Service& aService,
                const std::vector<double>& aShares,
                size_t aEngines) const;

  DedicatedPoolsOptions mOptions;
  std::map<std::string, Service> mServices;
  /** By entry. */
  std::map<std::string, Told> mTold;
};

} // namespace trefoilarch
