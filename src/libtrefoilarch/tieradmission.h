#pragma once

#include "millis.h"
#include "sharedtiers.h"
#include "tierguard.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace trefoilarch {

/** A request for which a service's tiers are to be decided. */
struct TierRequest
{
  std::string mService;
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  /** See TierReport. */
  double mWork = 1;
  /** Whether it is expected to start or end too late. */
  bool mLate = false;
};

/**
 * Decides which requests are rejected under overload, by this entry's requests
 * and by what its peers report: TierGuard for an entry by itself, SharedTiers
 * for all of them.
 */
class TierAdmission
{
public:
  explicit TierAdmission(uint64_t aSeed)
    : mGuard(aSeed)
  {
  }

  /**
   * Whether to reject the request. aOthersAcceptLessUrgent: whether peers for
   * which the argument is false, as they send no reports, accept enough less
   * urgent requests; called for late requests only.
   */
  bool Rejects(
    const TierRequest& aRequest,
    const std::function<
      bool(const std::function<bool(const std::string& aPeer)>& aIsReporting)>&
      aOthersAcceptLessUrgent,
    Millis aNow);

  /** Whether an entry is overloaded, as far as is known here. */
  bool IsOverloaded(Millis aNow) const { return mShared.IsOverloaded(aNow); }
  std::vector<TierReport> Reports(Millis aNow) const
  {
    return mShared.Reports(aNow);
  }
  std::vector<TierState> State(Millis aNow) const
  {
    return mShared.State(aNow);
  }
  void OnPeerUpdate(const TierUpdate& aUpdate, Millis aNow)
  {
    mShared.OnPeerUpdate(aUpdate, aNow);
  }

private:
  TierGuard mGuard;
  SharedTiers mShared;
};

} // namespace trefoilarch
