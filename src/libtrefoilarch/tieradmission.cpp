#include "tieradmission.h"

namespace trefoilarch {

bool
TierAdmission::Rejects(
  const TierRequest& aRequest,
  const std::function<bool(const std::function<bool(const std::string&)>&)>&
    aOthersAcceptLessUrgent,
  Millis aNow)
{
  const auto& [service, priority, work, late] = aRequest;
  mShared.OnRequest(service, priority, work, late, aNow);
  bool peersAcceptLessUrgent = false;
  double share = 0;
  // Only under overload, since it iterates over the reports of all peers.
  if (mShared.IsOverloaded(aNow)) {
    const auto isReporting = [this, aNow](const std::string& aPeer) {
      return mShared.IsReporting(aPeer, aNow);
    };
    peersAcceptLessUrgent =
      mShared.PeersAcceptLessUrgent(service, priority, aNow) ||
      (late && aOthersAcceptLessUrgent(isReporting));
    share = mShared.ShedShare(service, priority, aNow);
  }
  const bool rejected =
    mGuard.Refuses(service, priority, late, aNow, peersAcceptLessUrgent, share);
  mShared.OnDecision(service, priority, work, rejected, aNow);
  return rejected;
}

} // namespace trefoilarch
