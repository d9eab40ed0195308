#include "prefixcachetracker.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** The share of segments that is kept when there are too many. */
constexpr double kTrimmedShare = 0.75;

} // namespace

PrefixCacheTracker::PrefixCacheTracker(PrefixCacheTrackerOptions aOptions)
  : mOptions(aOptions)
{
}

void
PrefixCacheTracker::OnSent(const UpstreamId& aUpstream,
                           const std::vector<uint64_t>& aSegments,
                           uint32_t aTokens,
                           Millis aNow)
{
  Upstream& upstream = mUpstreams[aUpstream];
  upstream.mTokens += aTokens;
  if (aSegments.empty()) {
    return;
  }
  for (const uint64_t segment : aSegments) {
    upstream.mSegments[segment] = { .mAt = aNow, .mTokens = upstream.mTokens };
  }
  if (upstream.mSegments.size() > mOptions.mMaxSegments) {
    Trim(upstream, aNow);
  }
  mLastSent[aSegments.back()] = { aUpstream, aNow };
  if (mLastSent.size() > mOptions.mMaxSessions) {
    std::erase_if(mLastSent, [&](const auto& aSent) {
      return aNow - aSent.second.mAt > mOptions.mRetention / 2;
    });
  }
}

void
PrefixCacheTracker::Forget(const UpstreamId& aUpstream)
{
  mUpstreams.erase(aUpstream);
  std::erase_if(mLastSent, [&](const auto& aSent) {
    return aSent.second.mUpstream == aUpstream;
  });
}

uint32_t
PrefixCacheTracker::CachedTokens(const UpstreamId& aUpstream,
                                 const PromptShape& aPrompt,
                                 uint64_t aMemoryTokens,
                                 Millis aNow) const
{
  const auto upstream = mUpstreams.find(aUpstream);
  if (upstream == mUpstreams.end()) {
    return 0;
  }
  uint32_t tokens = 0;
  for (size_t each = 0; each < aPrompt.mSharedSegments; ++each) {
    const PromptSegment& segment = aPrompt.mSegments[each];
    const auto use = upstream->second.mSegments.find(segment.mId);
    const bool cached =
      use != upstream->second.mSegments.end() &&
      IsCached(upstream->second, use->second, aMemoryTokens, aNow);
    if (!cached) {
      break;
    }
    tokens += segment.mTokens;
  }
  return tokens;
}

std::optional<UpstreamId>
PrefixCacheTracker::LastHolder(const PromptShape& aPrompt,
                               uint64_t aMemoryTokens,
                               Millis aNow) const
{
  if (aPrompt.mSharedSegments == 0) {
    return std::nullopt;
  }
  const auto it =
    mLastSent.find(aPrompt.mSegments[aPrompt.mSharedSegments - 1].mId);
  if (it == mLastSent.end()) {
    return std::nullopt;
  }
  const UpstreamId& upstream = it->second.mUpstream;
  const uint32_t tokens = CachedTokens(upstream, aPrompt, aMemoryTokens, aNow);
  return tokens >= aPrompt.SharedTokens() ? std::optional(upstream)
                                          : std::nullopt;
}

bool
PrefixCacheTracker::IsCached(const Upstream& aUpstream,
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
  auto& segments = aUpstream.mSegments;
  std::erase_if(segments, [&](const auto& aSegment) {
    return aNow - aSegment.second.mAt > mOptions.mMaxRetention;
  });
  const auto target = static_cast<size_t>(
    kTrimmedShare * static_cast<double>(mOptions.mMaxSegments));
  if (segments.size() <= target) {
    return;
  }
  std::vector<Millis> used;
  used.reserve(segments.size());
  for (const auto& [id, use] : segments) {
    used.push_back(use.mAt);
  }
  const auto oldest = used.end() - static_cast<std::ptrdiff_t>(target);
  std::nth_element(used.begin(), oldest, used.end());
  std::erase_if(segments, [&](const auto& aSegment) {
    return aSegment.second.mAt < *oldest;
  });
}

} // namespace trefoilarch
