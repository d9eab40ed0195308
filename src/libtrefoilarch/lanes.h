#pragma once

#include "millis.h"
#include "prompt.h"
#include "routepolicy.h"
#include "upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** How Lanes divides a service's engines. */
struct LanesOptions
{
  /** Demand fades by this time constant; an entry of many sees some twenty
   * requests a second, too few for a shorter one. */
  Millis mMemory{ 6000 };
  /** A route has a lane of its own beside a stricter one if it allows this
   * many times its pause... */
  double mPauseFactor = 1.4;
  /** ...and its prompts are this many times as long. */
  double mPromptFactor = 2;
  double mPrefillPerMs = 80;
  /** An output token's share of a step in a well filled batch, in ms. */
  double mTokenMs = 0.3;
  /** Every lane has at least this share of the engines. */
  double mLeastShare = 0.12;
  /** A boundary moves when it is off by this share of the engines: a session
   * whose engine changes lanes is read again elsewhere. */
  double mSlack = 0.06;
  /** ...and by this many engines: a small fleet's demand wavers more. */
  double mSlackEngines = 1.5;
};

/** Where an engine is, as seen from a route. */
struct LanePlace
{
  /** 0 in the route's own lane, 1 in the next one, and so on. */
  uint32_t mDistance = 0;
  /** Engines between it and the nearest boundary of the route's lane: other
   * entries may have the boundary elsewhere. */
  uint32_t mFromEdge = kFarFromEdge;

  static constexpr uint32_t kFarFromEdge = 1000000;
};

/** By engine. */
using LanePlaces = std::unordered_map<UpstreamId, LanePlace>;

/**
 * Keeps long prompts away from streams that allow no long pause: an engine
 * reads prompts between the tokens of the requests beside them, so a few long
 * ones in a row are a pause for all. A service's engines are put in an order
 * that all entries work out alike, and are dealt to the lanes in that order,
 * longest prompts first, by the work that this entry sees for each.
 */
class Lanes
{
public:
  explicit Lanes(LanesOptions aOptions = {});

  /** A request of the route came. */
  void OnRequest(const std::string& aService,
                 const Route& aRoute,
                 const PromptShape& aPrompt,
                 Millis aNow);

  /**
   * How far each engine is from the route's lane. Worked out four times
   * a second at the most, as thousands of engines take a millisecond; an engine
   * that has come since is in no lane yet.
   */
  const LanePlaces& PlacesFor(const std::string& aService,
                              const Route& aRoute,
                              const std::vector<const ListedUpstream*>& aAll,
                              Millis aNow);

private:
  /** What came of one route, fading. */
  struct Demand
  {
    double mCount = 0;
    double mPromptTokens = 0;
    double mWorkMs = 0;
    double mPauseMs = 0;
    Millis mAt;
  };
  /** Routes that share engines, and their work. */
  struct Lane
  {
    std::vector<std::string> mRoutes;
    double mPauseMs = 0;
    double mPrompt = 0;
    double mWorkMs = 0;
  };
  /** A route's distances and until when they are good. */
  struct Known
  {
    LanePlaces mPlaces;
    Millis mUntil;
  };
  struct Service
  {
    std::map<std::string, Demand> mRoutes;
    /** Where each lane but the last ends, as shares of the engines. */
    std::vector<double> mEnds;
    std::map<std::string, Known> mKnown;
  };

  LanePlaces WorkOut(Service& aService,
                     const Route& aRoute,
                     const std::vector<const ListedUpstream*>& aAll,
                     Millis aNow) const;
  /** The lane of each place in the order. */
  static std::vector<size_t> LanesInOrder(const Service& aService,
                                          size_t aEngines);
  void Fade(Demand& aDemand, Millis aNow) const;
  /** From the longest prompts to the strictest streams. */
  std::vector<Lane> LanesOf(const Service& aService) const;
  void MoveEnds(Service& aService,
                const std::vector<Lane>& aLanes,
                size_t aEngines) const;

  LanesOptions mOptions;
  std::map<std::string, Service> mServices;
};

} // namespace trefoilarch
