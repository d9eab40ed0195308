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
  /** Sessions whose last upstream is remembered; beyond these, those that
   * have not come for half the span are forgotten. */
  size_t mMostSessions = 20000;
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

  /** Where the prompt's last shared part was sent last, if that was within
   * the span. */
  std::optional<UpstreamId> LastHolder(const PromptShape& aPrompt,
                                       Millis aSpan,
                                       Millis aNow) const;

private:
  using Parts = std::unordered_map<uint64_t, Millis>;
  struct Sent
  {
    UpstreamId mUpstream;
    Millis mAt;
  };

  void Trim(Parts& aParts, Millis aNow) const;

  PrefixMemoryOptions mOptions;
  std::unordered_map<UpstreamId, Parts> mHeld;
  /** By a session's last shared part. */
  std::unordered_map<uint64_t, Sent> mLast;
};

} // namespace trefoilarch
