#include "prefixmemory.h"

#include <algorithm>
#include <vector>

namespace trefoilarch {

namespace {

/** The share of parts that stays when there are too many. */
constexpr double kKeptShare = 0.75;

} // namespace

PrefixMemory::PrefixMemory(PrefixMemoryOptions aOptions)
  : mOptions(aOptions)
{
}

void
PrefixMemory::OnSent(const UpstreamId& aUpstream,
                     const PromptShape& aPrompt,
                     Millis aNow)
{
  if (aPrompt.mShared == 0) {
    return;
  }
  Parts& parts = mHeld[aUpstream];
  for (size_t each = 0; each < aPrompt.mShared; ++each) {
    parts[aPrompt.mParts[each].mId] = aNow;
  }
  if (parts.size() > mOptions.mMostParts) {
    Trim(parts, aNow);
  }
  mLast[aPrompt.mParts[aPrompt.mShared - 1].mId] = { aUpstream, aNow };
  if (mLast.size() > mOptions.mMostSessions) {
    std::erase_if(mLast, [&](const auto& aSent) {
      return aNow - aSent.second.mAt > mOptions.mSpan / 2;
    });
  }
}

void
PrefixMemory::Forget(const UpstreamId& aUpstream)
{
  mHeld.erase(aUpstream);
  std::erase_if(mLast, [&](const auto& aSent) {
    return aSent.second.mUpstream == aUpstream;
  });
}

uint32_t
PrefixMemory::Held(const UpstreamId& aUpstream,
                   const PromptShape& aPrompt,
                   Millis aNow) const
{
  const auto parts = mHeld.find(aUpstream);
  if (parts == mHeld.end()) {
    return 0;
  }
  uint32_t held = 0;
  for (size_t each = 0; each < aPrompt.mShared; ++each) {
    const PromptPart& part = aPrompt.mParts[each];
    const auto place = parts->second.find(part.mId);
    if (place == parts->second.end() || aNow - place->second > mOptions.mSpan) {
      break;
    }
    held += part.mTokens;
  }
  return held;
}

std::optional<UpstreamId>
PrefixMemory::LastHolder(const PromptShape& aPrompt,
                         Millis aSpan,
                         Millis aNow) const
{
  if (aPrompt.mShared == 0) {
    return std::nullopt;
  }
  const auto place = mLast.find(aPrompt.mParts[aPrompt.mShared - 1].mId);
  if (place == mLast.end() || aNow - place->second.mAt >= aSpan) {
    return std::nullopt;
  }
  return place->second.mUpstream;
}

void
PrefixMemory::Trim(Parts& aParts, Millis aNow) const
{
  std::erase_if(aParts, [&](const auto& aPart) {
    return aNow - aPart.second > mOptions.mSpan;
  });
  const auto kept =
    static_cast<size_t>(kKeptShare * static_cast<double>(mOptions.mMostParts));
  if (aParts.size() <= kept) {
    return;
  }
  std::vector<Millis> used;
  used.reserve(aParts.size());
  for (const auto& [id, at] : aParts) {
    used.push_back(at);
  }
  const auto oldest = used.end() - static_cast<std::ptrdiff_t>(kept);
  std::nth_element(used.begin(), oldest, used.end());
  std::erase_if(aParts,
                [&](const auto& aPart) { return aPart.second < *oldest; });
}

} // namespace trefoilarch
