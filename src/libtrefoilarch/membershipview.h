#pragma once

#include "membership.h"
#include "millis.h"

#include <cstddef>
#include <map>
#include <string>

namespace trefoilarch {

/** When changes of the host list are accepted; times in milliseconds. */
struct MembershipViewOptions
{
  /**
   * A host is removed after it has been missing for this long, in at least two
   * reads.
   */
  Millis mMissingTimeout{ 500 };
  /** The same if more than half of the hosts vanish at once. */
  Millis mSuspicionTimeout{ 30000 };
  /** Fewer hosts than this may vanish together without suspicion. */
  size_t mSuspicionMinHosts = 4;
};

/**
 * Turns reads of the platform's host list, which lags and may be wrong, into
 * the membership in use. "Leaving" takes effect at once. A host that is missing
 * from a single read is kept, and a large part of the fleet that vanishes at
 * once is kept for a while: the channels show more reliably whether those hosts
 * are alive than a list that may be broken.
 */
class MembershipView
{
public:
  explicit MembershipView(MembershipViewOptions aOptions);

  /** Takes a read of the list and returns the membership now in use. */
  const Membership& OnList(const Membership& aList, Millis aNow);

  const Membership& Current() const { return mCurrent; }
  /** Number of hosts kept although the last read lacked them. */
  size_t Missing() const { return mMissingSince.size(); }

private:
  template<typename T>
  std::vector<T> Merge(const std::vector<T>& aOld,
                       const std::vector<T>& aNew,
                       Millis aNow);

  MembershipViewOptions mOptions;
  Membership mCurrent;
  /** Keyed by address. */
  std::map<std::string, Millis> mMissingSince;
};

} // namespace trefoilarch
