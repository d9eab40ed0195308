#pragma once

#include "millis.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace trefoilarch {

/**
 * Records the pauses between the events of each route's streams. Engines
 * prefill prompts in chunks between the tokens of the responses beside them, so
 * the length of these pauses depends on the engine and must be observed.
 */
class PauseRecord
{
public:
  /** An event of a stream was received aPause after the previous one. */
  void OnPause(const std::string& aRoute, Millis aPause, Millis aNow);
  void OnStreamEnded(const std::string& aRoute, Millis aNow);

  /**
   * The share of a route's streams that would have a pause longer than
   * aMaxPause beside the streams of another route. Requires HasEnoughData().
   */
  double LateShare(const std::string& aRoute,
                   const std::string& aBeside,
                   Millis aMaxPause) const;
  /** Whether there are enough samples of both routes for LateShare(). */
  bool HasEnoughData(const std::string& aRoute,
                     const std::string& aBeside) const;

private:
  /** Each bucket's bound is a tenth above the previous one. */
  static constexpr size_t kBuckets = 96;

  struct RouteSamples
  {
    std::array<double, kBuckets> mPauses{};
    double mPauseCount = 0;
    double mStreamCount = 0;
    Millis mAt;
  };

  static size_t BucketOf(Millis aPause);
  static void Decay(RouteSamples& aSamples, Millis aNow);

  std::map<std::string, RouteSamples> mRoutes;
};

} // namespace trefoilarch
