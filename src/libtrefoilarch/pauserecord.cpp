#include "pauserecord.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Time constant by which samples decay. */
constexpr double kDecayTimeMs = 10000;

/** Minimum time between two updates of the decay. */
constexpr Millis kDecayInterval{ 200 };

/** Upper bound of the first bucket, in milliseconds. */
constexpr double kFirstBucketBound = 1;
constexpr double kBucketRatio = 1.1;

/** Minimum numbers of samples for an estimate. */
constexpr double kMinPauses = 60;
constexpr double kMinStreams = 3;

} // namespace

void
PauseRecord::OnPause(const std::string& aRoute, Millis aPause, Millis aNow)
{
  RouteSamples& samples = mRoutes[aRoute];
  Decay(samples, aNow);
  samples.mPauses[BucketOf(aPause)] += 1;
  samples.mPauseCount += 1;
}

void
PauseRecord::OnStreamEnded(const std::string& aRoute, Millis aNow)
{
  RouteSamples& samples = mRoutes[aRoute];
  Decay(samples, aNow);
  samples.mStreamCount += 1;
}

bool
PauseRecord::HasEnoughData(const std::string& aRoute,
                           const std::string& aBeside) const
{
  const auto route = mRoutes.find(aRoute);
  const auto beside = mRoutes.find(aBeside);
  return route != mRoutes.end() && beside != mRoutes.end() &&
         route->second.mStreamCount >= kMinStreams &&
         beside->second.mPauseCount >= kMinPauses;
}

double
PauseRecord::LateShare(const std::string& aRoute,
                       const std::string& aBeside,
                       Millis aMaxPause) const
{
  const RouteSamples& route = mRoutes.at(aRoute);
  const RouteSamples& beside = mRoutes.at(aBeside);
  double longer = 0;
  for (size_t each = BucketOf(aMaxPause) + 1; each < kBuckets; ++each) {
    longer += beside.mPauses[each];
  }
  const double onTime = 1 - longer / beside.mPauseCount;
  const double pauses = route.mPauseCount / route.mStreamCount;
  return 1 - std::pow(onTime, pauses);
}

size_t
PauseRecord::BucketOf(Millis aPause)
{
  const auto pause =
    std::max(kFirstBucketBound, static_cast<double>(aPause.Count()));
  const double bucket =
    std::log(pause / kFirstBucketBound) / std::log(kBucketRatio);
  return std::min(static_cast<size_t>(bucket), kBuckets - 1);
}

void
PauseRecord::Decay(RouteSamples& aSamples, Millis aNow)
{
  const Millis elapsed = aNow - aSamples.mAt;
  if (elapsed < kDecayInterval) {
    return;
  }
  const double factor =
    std::exp(-static_cast<double>(elapsed.Count()) / kDecayTimeMs);
  for (double& each : aSamples.mPauses) {
    each *= factor;
  }
  aSamples.mPauseCount *= factor;
  aSamples.mStreamCount *= factor;
  aSamples.mAt = aNow;
}

} // namespace trefoilarch
