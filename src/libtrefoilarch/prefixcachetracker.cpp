#include "prefixcachetracker.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** The share of parts that stays when there are too many. */
constexpr double kKeptShare = 0.75;

} // namespace

PrefixCacheTracker::PrefixCacheTracker(PrefixCacheTrackerOptions aOptions)
  : mOptions(aOptions)
{
}

void
PrefixCacheTracker::OnSent(const UpstreamId& aUpstream,
                           const std::vector<uint64_t>& aParts,
                           uint32_t aTokens,
                           Millis aNow)
{
  Upstream& upstream = mHeld[aUpstream];
  upstream.mTokens += aTokens;
  if (aParts.empty()) {
    return;
  }
  for (const uint64_t part : aParts) {
    upstream.mSegments[part] = { .mAt = aNow, .mTokens = upstream.mTokens };
  }
  if (upstream.mSegments.size() > mOptions.mMaxSegments) {
    Trim(upstream, aNow);
  }
  mLast[aParts.back()] = { aUpstream, aNow };
  if (mLast.size() > mOptions.mMaxSessions) {
    std::erase_if(mLast, [&](const auto& aSent) {
      return aNow - aSent.second.mAt > mOptions.mRetention / 2;
    });
  }
}

void
PrefixCacheTracker::Forget(const UpstreamId& aUpstream)
{
  mHeld.erase(aUpstream);
  std::erase_if(mLast, [&](const auto& aSent) {
    return aSent.second.mUpstream == aUpstream;
  });
}

uint32_t
PrefixCacheTracker::CachedTokens(const UpstreamId& aUpstream,
                                 const PromptShape& aPrompt,
                                 uint64_t aMemoryTokens,
                                 Millis aNow) const
{
  const auto upstream = mHeld.find(aUpstream);
  if (upstream == mHeld.end()) {
    return 0;
  }
  uint32_t held = 0;
  for (size_t each = 0; each < aPrompt.mSharedSegments; ++each) {
    const PromptSegment& part = aPrompt.mSegments[each];
    const auto use = upstream->second.mSegments.find(part.mId);
    const bool there =
      use != upstream->second.mSegments.end() &&
      IsHeld(upstream->second, use->second, aMemoryTokens, aNow);
    if (!there) {
      break;
    }
    held += part.mTokens;
  }
  return held;
}

std::optional<UpstreamId>
PrefixCacheTracker::LastHolder(const PromptShape& aPrompt,
                               uint64_t aMemoryTokens,
                               Millis aNow) const
{
  if (aPrompt.mSharedSegments == 0) {
    return std::nullopt;
  }
  const auto place =
    mLast.find(aPrompt.mSegments[aPrompt.mSharedSegments - 1].mId);
  if (place == mLast.end()) {
    return std::nullopt;
  }
  const UpstreamId& upstream = place->second.mUpstream;
  const uint32_t held = CachedTokens(upstream, aPrompt, aMemoryTokens, aNow);
  return held >= aPrompt.SharedTokens() ? std::optional(upstream)
                                        : std::nullopt;
}

bool
PrefixCacheTracker::IsHeld(const Upstream& aUpstream,
                           const Use& aUse,
                           uint64_t aMemoryTokens,
                           Millis aNow) const
{
  const Millis idle = aNow - aUse.mAt;
  if (aMemoryTokens == 0) {
    return idle <= mOptions.mRetention;
  }
  const auto since = static_cast<double>(aUpstream.mTokens - aUse.mTokens);
  return idle <= mOptions.mMaxRetention &&
         since <= mOptions.mEvictionShare * static_cast<double>(aMemoryTokens);
}

void
PrefixCacheTracker::Trim(Upstream& aUpstream, Millis aNow) const
{
  auto& parts = aUpstream.mSegments;
  std::erase_if(parts, [&](const auto& aPart) {
    return aNow - aPart.second.mAt > mOptions.mMaxRetention;
  });
  const auto kept = static_cast<size_t>(
    kKeptShare * static_cast<double>(mOptions.mMaxSegments));
  if (parts.size() <= kept) {
    return;
  }
  std::vector<Millis> used;
  used.reserve(parts.size());
  for (const auto& [id, use] : parts) {
    used.push_back(use.mAt);
  }
  const auto oldest = used.end() - static_cast<std::ptrdiff_t>(kept);
  std::nth_element(used.begin(), oldest, used.end());
  std::erase_if(parts,
                [&](const auto& aPart) { return aPart.second.mAt < *oldest; });
}

} // namespace trefoilarch
