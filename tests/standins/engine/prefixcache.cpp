#include "prefixcache.h"

#include "common/answertext.h"

#include <xxhash.h>

namespace standin {

PrefixCache::PrefixCache(size_t aMostBlocks)
  : mMostBlocks(aMostBlocks)
{
}

size_t
PrefixCache::CachedBlocks(const std::vector<uint64_t>& aBlocks) const
{
  size_t hits = 0;
  while (hits < aBlocks.size() && mPlaces.contains(aBlocks[hits])) {
    ++hits;
  }
  return hits;
}

size_t
PrefixCache::Take(const std::vector<uint64_t>& aBlocks)
{
  const size_t hits = CachedBlocks(aBlocks);
  for (const uint64_t block : aBlocks) {
    Touch(block);
  }
  return hits;
}

void
PrefixCache::Touch(uint64_t aBlock)
{
  if (const auto place = mPlaces.find(aBlock); place != mPlaces.end()) {
    mByUse.splice(mByUse.begin(), mByUse, place->second);
    return;
  }
  mByUse.push_front(aBlock);
  mPlaces[aBlock] = mByUse.begin();
  if (mByUse.size() > mMostBlocks) {
    mPlaces.erase(mByUse.back());
    mByUse.pop_back();
  }
}

std::vector<uint64_t>
PrefixBlocks(const std::string& aPrompt)
{
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<uint64_t> blocks;
  uint64_t chain = 0;
  for (size_t at = 0; at + kBlockBytes <= aPrompt.size(); at += kBlockBytes) {
    chain = XXH64(aPrompt.data() + at, kBlockBytes, chain);
    blocks.push_back(chain);
  }
  return blocks;
}

} // namespace standin
