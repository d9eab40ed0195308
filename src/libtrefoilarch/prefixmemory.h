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

/** Bounds of a PrefixMemory. */
struct PrefixMemoryOptions
{
  /** Where an engine's memory is not known, a part is taken for gone after
   * this span without use. */
  Millis mSpan{ 20000 };
  /** Where it is known, after this span: a stay that nobody has watched. */
  Millis mLongestSpan{ 120000 };
  /** A part is held until new tokens fill this share of the engine's memory:
   * the least recently used parts yield, and what runs does not. At 0.4 and
   * 0.8 the mean worth of days with trouble was 0.780 and 0.795 at 18 engines
   * (trials, one run each). */
  double mHeldShare = 0.8;
  /** Parts that are remembered for one upstream. */
  size_t mMostParts = 4000;
  /** Sessions whose last upstream is remembered; beyond these, those that
   * have not come for half the span are forgotten. */
  size_t mMostSessions = 20000;
};

/**
 * Which parts of prompts each upstream has read lately, as far as this
 * process knows what was sent. Engines keep what they have read, and read
 * a part again only where a part before it is missing.
 */
class PrefixMemory
{
public:
  explicit PrefixMemory(PrefixMemoryOptions aOptions = {});

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
  uint32_t Held(const UpstreamId& aUpstream,
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
    std::unordered_map<uint64_t, Use> mParts;
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

  PrefixMemoryOptions mOptions;
  std::unordered_map<UpstreamId, Upstream> mHeld;
  /** By a session's last shared part. */
  std::unordered_map<uint64_t, Sent> mLast;
};

} // namespace trefoilarch
