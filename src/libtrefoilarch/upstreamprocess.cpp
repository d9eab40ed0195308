#include "upstreamprocess.h"

namespace trefoilarch {

bool
IsReplaced(const UpstreamProcess& aBefore, const UpstreamProcess& aNow)
{
  const bool versionChanged = !aBefore.mVersion.empty() &&
                              !aNow.mVersion.empty() &&
                              aBefore.mVersion != aNow.mVersion;
  if (aBefore.mAddress != aNow.mAddress || versionChanged) {
    return true;
  }
  if (aBefore.mStartTime && aNow.mStartTime) {
    // An earlier start time is another process too: a process has one start
    // time and the list is read in order, but the upstream's clock may be set
    // back.
    return aBefore.mStartTime != aNow.mStartTime;
  }
  return aBefore.mSequence && aNow.mSequence &&
         *aNow.mSequence < *aBefore.mSequence;
}

} // namespace trefoilarch
