#include "tierguard.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** A route counts as accepted for this long after its last request. */
constexpr Millis kAdmittedWindow{ 1500 };

/** How long one overloaded request of a more urgent route sheds less urgent
 * load. */
constexpr Millis kOverloadWindow{ 500 };

/** Share of the least urgent requests that is rejected meanwhile. */
constexpr double kRefusedShare = 0.7;

} // namespace

TierGuard::TierGuard(uint64_t aSeed)
  : mRandom(aSeed)
{
}

bool
TierGuard::Refuses(const std::string& aService,
                   uint8_t aPriority,
                   bool aOverloaded,
                   Millis aNow,
                   bool aPeersTakeLessUrgent,
                   double aShedShare)
{
  Service& service = mServices[aService];
  const bool lessUrgentTakenHere = TakesLessUrgent(service, aPriority, aNow);
  const bool lessUrgentTaken = lessUrgentTakenHere || aPeersTakeLessUrgent;
  bool refuses = aOverloaded && !lessUrgentTaken;
  if (aOverloaded && lessUrgentTaken) {
    service.mOverloadedUntil = aNow + kOverloadWindow;
    service.mOverloadedPriority = aPriority;
  }
  const bool moreUrgentOverloaded =
    aNow < service.mOverloadedUntil && service.mOverloadedPriority < aPriority;
  const double share =
    std::max(moreUrgentOverloaded ? kRefusedShare : 0, aShedShare);
  if (share > 0 && !lessUrgentTaken) {
    std::bernoulli_distribution refusal(share);
    refuses = refuses || refusal(mRandom);
  }
  if (!refuses) {
    service.mLastTakenAt[aPriority] = aNow;
  }
  return refuses;
}

bool
TierGuard::TakesLessUrgent(const Service& aService,
                           uint8_t aPriority,
                           Millis aNow)
{
  for (auto each = aService.mLastTakenAt.upper_bound(aPriority);
       each != aService.mLastTakenAt.end();
       ++each) {
    if (aNow - each->second < kAdmittedWindow) {
      return true;
    }
  }
  return false;
}

} // namespace trefoilarch
