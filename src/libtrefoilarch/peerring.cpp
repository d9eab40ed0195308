#include "peerring.h"

#include <algorithm>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Entries that poll the store: at least this many, and in a larger fleet one
 * in kEntriesPerPoller, so that each entry receives changes from three. */
constexpr size_t kMinPollers = 3;
constexpr size_t kEntriesPerPoller = PeerRing::kMaxReceivers / kMinPollers;

/** Whether the entry at that position polls. The pollers are spread evenly. */
bool
PollsAt(size_t aPosition, size_t aEntries)
{
  const size_t pollers =
    std::max(kMinPollers, aEntries / kEntriesPerPoller + 1);
  const auto share = [&](size_t aBefore) {
    return aBefore * pollers / aEntries;
  };
  return pollers >= aEntries || share(aPosition) != share(aPosition + 1);
}

} // namespace

PeerRing::PeerRing(const std::string& aOwn,
                   const std::vector<std::string>& aNames)
  : mNames(aNames)
{
  const auto next = std::upper_bound(aNames.begin(), aNames.end(), aOwn);
  mOthers.assign(next, aNames.end());
  mOthers.insert(mOthers.end(), aNames.begin(), next);
  const bool listed = std::erase(mOthers, aOwn) > 0;
  const auto position = static_cast<size_t>(next - aNames.begin());
  // An entry that is not listed yet receives no updates.
  mPollsStore = !listed || PollsAt(position - 1, aNames.size());
}

std::vector<std::string>
PeerRing::Coordinators() const
{
  std::vector<std::string> names = mNames;
  const auto last = names.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(kCoordinators, names.size()));
  const auto hash = [](const std::string& aName) {
    return XXH3_64bits(aName.data(), aName.size());
  };
  std::partial_sort(names.begin(),
                    last,
                    names.end(),
                    [&](const std::string& aLeft, const std::string& aRight) {
                      return hash(aLeft) > hash(aRight);
                    });
  names.erase(last, names.end());
  return names;
}

std::vector<std::string>
PeerRing::Senders() const
{
  const size_t count = std::min(kMaxReceivers, mOthers.size());
  return { mOthers.end() - static_cast<std::ptrdiff_t>(count), mOthers.end() };
}

} // namespace trefoilarch
