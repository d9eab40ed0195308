#include "subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace trefoilarch {

namespace {

/** Higher hashes rank first; equal hashes are ordered by name. */
using Ranked = std::pair<uint64_t, const SidecarMember*>;

uint64_t
RankOf(const std::string& aEntry, const SidecarMember& aSidecar)
{
  const uint64_t seed = XXH3_64bits(aEntry.data(), aEntry.size());
  const std::string& name = aSidecar.mUpstream;
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

void
TakeBest(std::vector<Ranked>& aGroup,
         size_t aSize,
         std::vector<SidecarMember>& aOut)
{
  std::sort(
    aGroup.begin(), aGroup.end(), [](const auto& aLhs, const auto& aRhs) {
      return aLhs.first != aRhs.first
               ? aLhs.first > aRhs.first
               : aLhs.second->mUpstream < aRhs.second->mUpstream;
    });
  size_t live = 0;
  for (const auto& [rank, sidecar] : aGroup) {
    if (live == aSize) {
      return;
    }
    aOut.push_back(*sidecar);
    live += sidecar->mLeaving ? 0 : 1;
  }
}

} // namespace

std::vector<SidecarMember>
ChooseSubset(const std::string& aEntry,
             const std::vector<SidecarMember>& aSidecars,
             size_t aSize)
{
  if (aSize == 0) {
    return aSidecars;
  }
  std::map<std::string, std::vector<Ranked>> groups;
  for (const SidecarMember& sidecar : aSidecars) {
    groups[sidecar.mGroup].emplace_back(RankOf(aEntry, sidecar), &sidecar);
  }
  std::vector<SidecarMember> chosen;
  for (auto& [name, group] : groups) {
    TakeBest(group, aSize, chosen);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

} // namespace trefoilarch
