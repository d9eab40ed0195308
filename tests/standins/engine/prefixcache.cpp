#include "prefixcache.h"

#include "common/answertext.h"

#include <xxhash.h>

namespace standin {

PrefixCache::PrefixCache(size_t aMaxBlocks)
  : mMaxBlocks(aMaxBlocks)
{
}

size_t
PrefixCache::CachedBlocks(const std::vector<uint64_t>& aBlocks) const
{
  size_t hits = 0;
  while (hits < aBlocks.size() && mPositions.contains(aBlocks[hits])) {
    ++hits;
  }
  return hits;
}

size_t
PrefixCache::LookUpAndInsert(const std::vector<uint64_t>& aBlocks)
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
  if (const auto position = mPositions.find(aBlock);
      position != mPositions.end()) {
    mRecentlyUsed.splice(
      mRecentlyUsed.begin(), mRecentlyUsed, position->second);
    return;
  }
  mRecentlyUsed.push_front(aBlock);
  mPositions[aBlock] = mRecentlyUsed.begin();
  if (mRecentlyUsed.size() > mMaxBlocks) {
    mPositions.erase(mRecentlyUsed.back());
    mRecentlyUsed.pop_back();
  }
}

std::vector<uint64_t>
PrefixBlocks(const std::string& aPrompt)
{
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<uint64_t> blocks;
  uint64_t hash = 0;
  for (size_t offset = 0; offset + kBlockBytes <= aPrompt.size();
       offset += kBlockBytes) {
    hash = XXH64(aPrompt.data() + offset, kBlockBytes, hash);
    blocks.push_back(hash);
  }
  return blocks;
}

} // namespace standin
