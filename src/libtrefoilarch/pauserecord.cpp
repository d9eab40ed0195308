#include "pauserecord.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** What was seen fades by this time constant. */
constexpr double kMemoryMs = 10000;

/** Fading is worked out no more often than this. */
constexpr Millis kFadeSpan{ 200 };

/** The first bucket ends here, in milliseconds. */
constexpr double kFirstBound = 1;
constexpr double kRatio = 1.1;

/** Fewer pauses or streams than these say too little. */
constexpr double kLeastPauses = 60;
constexpr double kLeastStreams = 3;

} // namespace

void
PauseRecord::OnPause(const std::string& aRoute, Millis aPause, Millis aNow)
{
  Seen& seen = mRoutes[aRoute];
  Fade(seen, aNow);
  seen.mPauses[BucketOf(aPause)] += 1;
  seen.mAll += 1;
}

void
PauseRecord::OnStreamEnded(const std::string& aRoute, Millis aNow)
{
  Seen& seen = mRoutes[aRoute];
  Fade(seen, aNow);
  seen.mStreams += 1;
}

bool
PauseRecord::HasEnoughData(const std::string& aRoute,
                           const std::string& aBeside) const
{
  const auto route = mRoutes.find(aRoute);
  const auto beside = mRoutes.find(aBeside);
  return route != mRoutes.end() && beside != mRoutes.end() &&
         route->second.mStreams >= kLeastStreams &&
         beside->second.mAll >= kLeastPauses;
}

double
PauseRecord::LateShare(const std::string& aRoute,
                       const std::string& aBeside,
                       Millis aLongest) const
{
  const Seen& route = mRoutes.at(aRoute);
  const Seen& beside = mRoutes.at(aBeside);
  double longer = 0;
  for (size_t each = BucketOf(aLongest) + 1; each < kBuckets; ++each) {
    longer += beside.mPauses[each];
  }
  const double onTime = 1 - longer / beside.mAll;
  const double pauses = route.mAll / route.mStreams;
  return 1 - std::pow(onTime, pauses);
}

size_t
PauseRecord::BucketOf(Millis aPause)
{
  const auto pause = std::max(kFirstBound, static_cast<double>(aPause.Count()));
  const double bucket = std::log(pause / kFirstBound) / std::log(kRatio);
  return std::min(static_cast<size_t>(bucket), kBuckets - 1);
}

void
PauseRecord::Fade(Seen& aSeen, Millis aNow)
{
  const Millis span = aNow - aSeen.mAt;
  if (span < kFadeSpan) {
    return;
  }
  const double kept = std::exp(-static_cast<double>(span.Count()) / kMemoryMs);
  for (double& each : aSeen.mPauses) {
    each *= kept;
  }
  aSeen.mAll *= kept;
  aSeen.mStreams *= kept;
  aSeen.mAt = aNow;
}

} // namespace trefoilarch
