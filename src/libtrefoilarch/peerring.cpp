#include "peerring.h"

#include <algorithm>

namespace trefoilarch {

PeerRing::PeerRing(const std::string& aOwn,
                   const std::vector<std::string>& aNames)
{
  const auto next = std::upper_bound(aNames.begin(), aNames.end(), aOwn);
  mOthers.assign(next, aNames.end());
  mOthers.insert(mOthers.end(), aNames.begin(), next);
  std::erase(mOthers, aOwn);
}

std::vector<std::string>
PeerRing::Tellers() const
{
  const size_t count = std::min(kMostTold, mOthers.size());
  return { mOthers.end() - static_cast<std::ptrdiff_t>(count), mOthers.end() };
}

} // namespace trefoilarch
