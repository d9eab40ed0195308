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

/** Bounds of a PrefixCacheTracker. */
struct PrefixCacheTrackerOptions
{
  /** Where an engine's memory is not known, a part is taken for gone after
   * this span without use. */
  Millis mRetention{ 20000 };
  /** Where it is known, after this span: a stay that nobody has watched. */
  Millis mMaxRetention{ 120000 };
  /** A part is held until new tokens fill this share of the engine's memory:
   * the least recently used parts yield, and what runs does not. At 0.4 and
   * 0.8 the mean worth of days with trouble was 0.780 and 0.795 at 18 engines
   * (trials, one run each). */
  double mEvictionShare = 0.8;
  /** Parts that are remembered for one upstream. */
  size_t mMaxSegments = 4000;
  /** Sessions whose last upstream is remembered; beyond these, those that
   * have not come for half the span are forgotten. */
  size_t mMaxSessions = 20000;
};

/**
 * Which parts of prompts each upstream has read lately, as far as this
 * process knows what was sent. Engines keep what they have read, and read
 * a part again only where a part before it is missing.
 */
class PrefixCacheTracker
{
public:
  explicit PrefixCacheTracker(PrefixCacheTrackerOptions aOptions = {});

  /** The upstream was sent a request with these parts, which adds so many
   * tokens to its memory. */
  void OnSent(const UpstreamId& aUpstream,
              const std::vector<uint64_t>& aParts,
              uint32_t aTokens,
              Millis aNow);
  /** The upstream is gone and what it held with it. */
  void Forget(const UpstreamId& aUpstream);

  /** Tokens at the prompt's start that the upstream seems to hold, whose
   * memory is for so many (0: not known). */
  uint32_t CachedTokens(const UpstreamId& aUpstream,
                        const PromptShape& aPrompt,
                        uint64_t aMemoryTokens,
                        Millis aNow) const;

  /** Where the prompt's last shared part was sent last, if it is still held
   * there. */
  std::optional<UpstreamId> LastHolder(const PromptShape& aPrompt,
                                       uint64_t aMemoryTokens,
                                       Millis aNow) const;

private:
  /** When a part was last used, and what its upstream had read by then. */
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

  bool IsHeld(const Upstream& aUpstream,
              const Use& aUse,
              uint64_t aMemoryTokens,
              Millis aNow) const;
  void Trim(Upstream& aUpstream, Millis aNow) const;

  PrefixCacheTrackerOptions mOptions;
  std::unordered_map<UpstreamId, Upstream> mHeld;
  /** By a session's last shared part. */
  std::unordered_map<uint64_t, Sent> mLast;
};

} // namespace trefoilarch
