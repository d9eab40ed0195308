#pragma once

#include "millis.h"
#include "prompt.h"
#include "routepolicy.h"
#include "upstreamdirectory.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace trefoilarch {

/** How Lanes divides a service's engines. */
struct LanesOptions
{
  /** Demand fades by this time constant. */
  Millis mMemory{ 8000 };
  /** A route takes the long lane if it allows this many times the pause of
   * the strictest route... */
  double mPauseFactor = 2;
  /** ...and its prompts are this many times as long. */
  double mPromptFactor = 3;
  double mPrefillPerMs = 80;
  /** An output token's share of a step, in milliseconds. */
  double mTokenMs = 0.6;
  /** The long lane's bounds, as shares of the engines. */
  double mLeastShare = 0.25;
  double mMostShare = 0.6;
  /** The boundary moves when it is off by this share of the engines: a
   * session whose engine changes lanes is read again elsewhere. */
  double mSlack = 0.12;
};

/**
 * Keeps long prompts away from streams that allow no long pause: reading a
 * prompt stalls every request of the batch. A service's engines are put in an
 * order that all entries work out alike; the long lane is its beginning, as
 * large as the long routes' share of the work that this entry sees.
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
   * The engines of the route's lane among all engines of the service; all of
   * them where there is nothing to keep apart.
   */
  std::set<UpstreamId> Members(const std::string& aService,
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
  struct Service
  {
    std::map<std::string, Demand> mRoutes;
    size_t mLong = 0;
  };

  void Fade(Demand& aDemand, Millis aNow) const;
  /** Names of the routes that belong to the long lane. */
  std::set<std::string> LongRoutes(const Service& aService) const;
  size_t LongCount(Service& aService,
                   const std::set<std::string>& aLong,
                   size_t aEngines) const;

  LanesOptions mOptions;
  std::map<std::string, Service> mServices;
};

} // namespace trefoilarch
