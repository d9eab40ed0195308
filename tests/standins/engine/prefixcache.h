#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/** An engine's LRU cache of prompt prefixes, limited in blocks. */
class PrefixCache
{
public:
  explicit PrefixCache(size_t aMaxBlocks);

  /**
   * Returns how many leading blocks are cached, then caches all blocks and
   * evicts the least recently used ones.
   */
  size_t LookUpAndInsert(const std::vector<uint64_t>& aBlocks);

  /** Returns how many leading blocks are cached; the LRU order stays. */
  size_t CachedBlocks(const std::vector<uint64_t>& aBlocks) const;

private:
  void Touch(uint64_t aBlock);

  size_t mMaxBlocks;
  std::list<uint64_t> mRecentlyUsed; /**< most recent first */
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> mPositions;
};

/** Tokens in a block of the cache. */
inline constexpr size_t kBlockTokens = 16;

/** Returns the hashes of a prompt's complete blocks. Each hash also covers
 * all preceding text. */
std::vector<uint64_t>
PrefixBlocks(const std::string& aPrompt);

} // namespace standin
