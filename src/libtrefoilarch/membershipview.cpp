#include "membershipview.h"

#include <algorithm>
#include <set>

namespace trefoilarch {

MembershipView::MembershipView(MembershipViewOptions aOptions)
  : mOptions(aOptions)
{
}

const Membership&
MembershipView::OnList(const Membership& aList, Millis aNow)
{
  mCurrent.mSidecars = Merge(mCurrent.mSidecars, aList.mSidecars, aNow);
  mCurrent.mEntries = Merge(mCurrent.mEntries, aList.mEntries, aNow);
  return mCurrent;
}

template<typename T>
std::vector<T>
MembershipView::Merge(const std::vector<T>& aOld,
                      const std::vector<T>& aNew,
                      Millis aNow)
{
  std::set<std::string> listed;
  for (const T& member : aNew) {
    listed.insert(member.mAddress);
    mMissingSince.erase(member.mAddress);
  }
  std::vector<T> missing;
  for (const T& member : aOld) {
    if (!listed.contains(member.mAddress)) {
      missing.push_back(member);
    }
  }
  const size_t missingCount = missing.size();
  const bool suspicious = missingCount >= mOptions.mSuspicionMinHosts &&
                          2 * missingCount > aOld.size();
  std::vector<T> merged = aNew;
  for (const T& member : missing) {
    const Millis since =
      mMissingSince.try_emplace(member.mAddress, aNow).first->second;
    const Millis timeout =
      suspicious ? mOptions.mSuspicionTimeout : mOptions.mMissingTimeout;
    if (aNow - since < timeout) {
      merged.push_back(member);
    } else {
      mMissingSince.erase(member.mAddress);
    }
  }
  std::sort(merged.begin(), merged.end());
  return merged;
}

} // namespace trefoilarch
