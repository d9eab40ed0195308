#include "rankedset.h"

#include <xxhash.h>

#include <limits>
#include <utility>

namespace trefoilarch {

namespace {

/** Prefixes are ranked in this many slots, each computed on first use. */
constexpr size_t kSlots = 1024;

constexpr uint16_t kNoMember = std::numeric_limits<uint16_t>::max();

uint64_t
Hash(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

/** Mixes two hashes with the finalizer of MurmurHash3. */
uint64_t
Mix(uint64_t aLeft, uint64_t aRight)
{
  uint64_t mixed = aLeft ^ (aRight * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 33)) * 0xff51afd7ed558ccdULL;
  mixed = (mixed ^ (mixed >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return mixed ^ (mixed >> 33);
}

} // namespace

RankedSet::RankedSet(std::vector<UpstreamLink*> aMembers)
  : mMembers(std::move(aMembers))
{
  for (const UpstreamLink* member : mMembers) {
    mNameHashes.push_back(Hash(member->mView.mName));
  }
}

std::array<UpstreamLink*, RankedSet::kPreferred>
RankedSet::PreferredFor(uint64_t aPrefixHash)
{
  if (mSlots.empty()) {
    mSlots.resize(kSlots);
    mRanked.resize(kSlots);
  }
  const size_t slot = Mix(aPrefixHash, 0) % kSlots;
  if (!mRanked[slot]) {
    mSlots[slot] = Rank(slot);
    mRanked[slot] = true;
  }
  std::array<UpstreamLink*, kPreferred> preferred{};
  for (size_t i = 0; i < kPreferred && mSlots[slot][i] != kNoMember; i++) {
    preferred[i] = mMembers[mSlots[slot][i]];
  }
  return preferred;
}

RankedSet::Ranking
RankedSet::Rank(uint64_t aSlot) const
{
  std::array<std::pair<uint64_t, uint16_t>, kPreferred> ranked;
  ranked.fill({ 0, kNoMember });
  for (size_t i = 0; i < mNameHashes.size() && i < kNoMember; i++) {
    std::pair<uint64_t, uint16_t> next{ Mix(mNameHashes[i], aSlot + 1),
                                        static_cast<uint16_t>(i) };
    for (auto& position : ranked) {
      if (position.second == kNoMember || next.first > position.first) {
        std::swap(position, next);
      }
    }
  }
  Ranking ranking;
  for (size_t i = 0; i < kPreferred; i++) {
    ranking[i] = ranked[i].second;
  }
  return ranking;
}

} // namespace trefoilarch
