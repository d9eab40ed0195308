#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/** An engine's cache of prompt prefixes: a limited number of blocks, LRU. */
class PrefixCache
{
public:
  explicit PrefixCache(size_t aMostBlocks);

  /**
   * How many of the leading blocks are cached; all of them are cached
   * afterwards, the least recently used ones giving way.
   */
  size_t Take(const std::vector<uint64_t>& aBlocks);

  /** How many of the leading blocks are cached, without using them. */
  size_t CachedBlocks(const std::vector<uint64_t>& aBlocks) const;

private:
  void Touch(uint64_t aBlock);

  size_t mMostBlocks;
  std::list<uint64_t> mByUse; /**< most recent first */
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> mPlaces;
};

/** Tokens in a block of the cache. */
inline constexpr size_t kBlockTokens = 16;

/** Hashes of a prompt's whole blocks, each covering all text before it. */
std::vector<uint64_t>
PrefixBlocks(const std::string& aPrompt);

} // namespace standin
