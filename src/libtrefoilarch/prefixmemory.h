#pragma once

#include "ids.h"
#include "millis.h"
#include "prompt.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace trefoilarch {

/** Bounds of a PrefixMemory. */
struct PrefixMemoryOptions
{
  /** An engine's least recently used parts yield; after this span without
   * use a part is taken for gone. */
  Millis mSpan{ 20000 };
  /** Parts that are remembered for one upstream. */
  size_t mMostParts = 4000;
};

/**
 * Which parts of prompts each upstream has read lately, as far as this
 * process sent them. Engines keep what they have read, and read a part again
 * only where a part before it is missing.
 */
class PrefixMemory
{
public:
  explicit PrefixMemory(PrefixMemoryOptions aOptions = {});

  /** The upstream was sent a request with these parts. */
  void OnSent(const UpstreamId& aUpstream,
              const PromptShape& aPrompt,
              Millis aNow);
  /** The upstream is gone and what it held with it. */
  void Forget(const UpstreamId& aUpstream);

  /** Tokens at the prompt's start that the upstream seems to hold. */
  uint32_t Held(const UpstreamId& aUpstream,
                const PromptShape& aPrompt,
                Millis aNow) const;

  /** Where the part was sent last, if that was within the span. */
  std::optional<UpstreamId> LastHolder(uint64_t aPart,
                                       Millis aSpan,
                                       Millis aNow) const;

private:
  using Parts = std::unordered_map<uint64_t, Millis>;

  void Trim(Parts& aParts, Millis aNow) const;

  PrefixMemoryOptions mOptions;
  std::unordered_map<UpstreamId, Parts> mHeld;
};

} // namespace trefoilarch
