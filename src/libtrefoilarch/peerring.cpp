#include "peerring.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** Entries that ask the store themselves: so many at the least, and one in so
 * many of a larger fleet, so that each entry is told by three. */
constexpr size_t kLeastListeners = 3;
constexpr size_t kEntriesPerListener =
  PeerRing::kMaxReceivers / kLeastListeners;

/** Whether the entry at that place is one of those, evenly spread. */
bool
ListensAt(size_t aPlace, size_t aEntries)
{
  const size_t listeners =
    std::max(kLeastListeners, aEntries / kEntriesPerListener + 1);
  const auto share = [&](size_t aBefore) {
    return aBefore * listeners / aEntries;
  };
  return listeners >= aEntries || share(aPlace) != share(aPlace + 1);
}

} // namespace

PeerRing::PeerRing(const std::string& aOwn,
                   const std::vector<std::string>& aNames)
{
  const auto next = std::upper_bound(aNames.begin(), aNames.end(), aOwn);
  mOthers.assign(next, aNames.end());
  mOthers.insert(mOthers.end(), aNames.begin(), next);
  const bool listed = std::erase(mOthers, aOwn) > 0;
  const auto place = static_cast<size_t>(next - aNames.begin());
  // One that nobody knows of yet is told nothing.
  mListens = !listed || ListensAt(place - 1, aNames.size());
}

std::vector<std::string>
PeerRing::Senders() const
{
  const size_t count = std::min(kMaxReceivers, mOthers.size());
  return { mOthers.end() - static_cast<std::ptrdiff_t>(count), mOthers.end() };
}

} // namespace trefoilarch
