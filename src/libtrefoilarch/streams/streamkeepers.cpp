#include "streamkeepers.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace trefoilarch {

void
StreamKeepers::SetEntries(std::string aOwn, std::vector<std::string> aOthers)
{
  mOwn = std::move(aOwn);
  std::erase(aOthers, mOwn);
  mOthers = std::move(aOthers);
  mHashes.clear();
  for (const std::string& each : mOthers) {
    mHashes.push_back(XXH3_64bits(each.data(), each.size()));
  }
}

std::vector<std::string>
StreamKeepers::Others(StreamKey aStream, size_t aCount) const
{
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(mOthers.size());
  for (size_t index = 0; index < mOthers.size(); ++index) {
    ranked.emplace_back(
      XXH3_64bits_withSeed(&mHashes[index], sizeof mHashes[index], aStream),
      index);
  }
  const size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    std::greater<>());
  std::vector<std::string> others;
  for (size_t rank = 0; rank < count; ++rank) {
    others.push_back(mOthers[ranked[rank].second]);
  }
  return others;
}

} // namespace trefoilarch
