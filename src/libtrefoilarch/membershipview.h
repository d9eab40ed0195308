#pragma once

#include "membership.h"
#include "millis.h"

#include <cstddef>
#include <map>
#include <string>

namespace trefoilarch {

/** How far the host list is believed; times in milliseconds. */
struct MembershipViewOptions
{
  /** A host must be missing for this long, in two reads at the least. */
  Millis mMissingTimeout{ 500 };
  /** The same where more than half of the hosts vanish at once. */
  Millis mSuspicionTimeout{ 30000 };
  /** Fewer hosts than this may vanish together without doubt. */
  size_t mSuspicionMinHosts = 4;
};

/**
 * Turns reads of the platform's host list, which lags and may fail in odd
 * ways, into the membership that is acted on. "Leaving" holds at once. A host
 * that is missing from one read alone stays, and so does a large part of the
 * fleet that vanishes at once, for a while: whether those are alive, their
 * channels tell better than a list that may be broken.
 */
class MembershipView
{
public:
  explicit MembershipView(MembershipViewOptions aOptions);

  /** Takes a read and gives what holds from now on. */
  const Membership& OnList(const Membership& aList, Millis aNow);

  const Membership& Current() const { return mCurrent; }
  /** Hosts that are kept although the last read lacked them. */
  size_t Missing() const { return mMissingSince.size(); }

private:
  template<typename T>
  std::vector<T> Merge(const std::vector<T>& aOld,
                       const std::vector<T>& aNew,
                       Millis aNow);

  MembershipViewOptions mOptions;
  Membership mCurrent;
  /** By address. */
  std::map<std::string, Millis> mMissingSince;
};

} // namespace trefoilarch
