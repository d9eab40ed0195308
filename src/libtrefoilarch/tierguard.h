#pragma once

#include "millis.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace trefoilarch {

/**
 * Ensures that a service never rejects the more urgent of its routes while it
 * accepts less urgent ones: overload is shed from the least urgent route being
 * accepted.
 */
class TierGuard
{
public:
  explicit TierGuard(uint64_t aSeed);

  /**
   * Whether to reject a request of a route with that priority (0 is the most
   * urgent). aOverloaded: requests of its own route start or end too late.
   * aPeersTakeLessUrgent: other entries send enough less urgent requests.
   * aShedShare: the share that all entries reject for more urgent requests.
   */
  bool Refuses(const std::string& aService,
               uint8_t aPriority,
               bool aOverloaded,
               Millis aNow,
               bool aPeersTakeLessUrgent = false,
               double aShedShare = 0);

private:
  struct Service
  {
    /** When a request of each priority was last accepted. */
    std::map<uint8_t, Millis> mLastTakenAt;
    /** Until when a route of mOverloadedPriority is overloaded. */
    Millis mOverloadedUntil;
    uint8_t mOverloadedPriority = 0;
  };

  static bool TakesLessUrgent(const Service& aService,
                              uint8_t aPriority,
                              Millis aNow);

  std::map<std::string, Service> mServices;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
