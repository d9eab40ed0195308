#pragma once

#include "ids.h"
#include "millis.h"
#include "prompt.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

struct PrefixCacheTrackerOptions
{
  /** If an engine's cache size is unknown, a segment is assumed evicted after
   * this time without use. */
  Millis mRetention{ 20000 };
  /** If it is known, after this time: nothing confirms a longer stay. */
  Millis mMaxRetention{ 120000 };
  /** A segment is assumed cached until new tokens fill this share of the
   * cache: the least recently used are evicted, those of running requests are
   * not. */
  double mEvictionShare = 0.8;
  /** Segments tracked for one upstream. */
  size_t mMaxSegments = 4000;
  /** Sessions whose last upstream is tracked; beyond these, those without a
   * request for half the retention are dropped. */
  size_t mMaxSessions = 20000;
};

/**
 * Tracks which prompt segments each upstream has prefilled recently, as far as
 * this process knows. Engines keep them in a prefix cache, and prefill one
 * again only if one before it is missing.
 */
class PrefixCacheTracker
{
public:
  explicit PrefixCacheTracker(PrefixCacheTrackerOptions aOptions = {});

  /** The upstream was sent a request with these segments, which adds aTokens to
   * its cache. */
  void OnSent(const UpstreamId& aUpstream,
              const std::vector<uint64_t>& aSegments,
              uint32_t aTokens,
              Millis aNow);
  /** The upstream's process has ended, and its cache is lost. */
  void Forget(const UpstreamId& aUpstream);

  /** Tokens at the prompt's start that the upstream is assumed to have cached,
   * with a cache of aMemoryTokens (0: unknown). */
  uint32_t CachedTokens(const UpstreamId& aUpstream,
                        const PromptShape& aPrompt,
                        uint64_t aMemoryTokens,
                        Millis aNow) const;

  /** Where the prompt's last shared segment was sent last, if it is assumed to
   * be still cached there. */
  std::optional<UpstreamId> LastHolder(const PromptShape& aPrompt,
                                       uint64_t aMemoryTokens,
                                       Millis aNow) const;

private:
  /** When a segment was last used, and the upstream's total tokens then. */
  struct Use
  {
    Millis mAt;
    uint64_t mTokens = 0;
  };
  struct Upstream
  {
    std::unordered_map<uint64_t, Use> mSegments;
    uint64_t mTokens = 0;
  };
  struct Sent
  {
    UpstreamId mUpstream;
    Millis mAt;
  };

  bool IsCached(const Upstream& aUpstream,
                const Use& aUse,
                uint64_t aMemoryTokens,
                Millis aNow) const;
  void Trim(Upstream& aUpstream, Millis aNow) const;

  PrefixCacheTrackerOptions mOptions;
  std::unordered_map<UpstreamId, Upstream> mUpstreams;
  /** By a session's last shared segment. */
  std::unordered_map<uint64_t, Sent> mLastSent;
};

} // namespace trefoilarch
