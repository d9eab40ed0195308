#include "upstreamlimits.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** What has not changed is told again this often: a datagram may be lost. */
constexpr Millis kRepeat{ 2000 };

/** The end of a limit is told for so long. */
constexpr Millis kEndSpan{ 10000 };

/** A limit that no answer has shown for so long is nobody's to keep: the next
 * answer names it again. */
constexpr Millis kForgetSpan{ 60000 };

} // namespace

void
UpstreamLimits::OnAnswer(const UpstreamId& aUpstream,
                         const std::optional<NamedLimit>& aLimit,
                         Millis aSentAt,
                         Millis aNow)
{
  if (aLimit && !aLimit->mPerSecond) {
    Known& known = mKnown[aUpstream];
    if (!std::exchange(known.mUnreadable, true)) {
      mChanges.push_back({ .mUpstream = aUpstream,
                           .mBefore = known.mPerSecond,
                           .mNow = known.mPerSecond,
                           .mUnreadable = true });
    }
    return;
  }
  if (aLimit) {
    Take(aUpstream, aLimit->mPerSecond, aNow, false, aNow);
  } else if (mKnown.contains(aUpstream)) {
    // A request from before the limit may be answered after its first naming.
    Take(aUpstream, std::nullopt, aSentAt, false, aNow);
  }
}

void
UpstreamLimits::OnPeerReport(const LimitReport& aWord, Millis aNow)
{
  const bool known = mKnown.contains(aWord.mUpstream);
  if (aWord.mPerSecond || known) {
    Take(aWord.mUpstream, aWord.mPerSecond, aNow - aWord.mAge, true, aNow);
  }
}

void
UpstreamLimits::Take(const UpstreamId& aUpstream,
                     std::optional<double> aPerSecond,
                     Millis aAt,
                     bool aTold,
                     Millis aNow)
{
  const auto [place, fresh] = mKnown.try_emplace(aUpstream);
  Known& known = place->second;
  if (!fresh && aAt <= known.mAt) {
    return;
  }
  known.mAt = aAt;
  known.mUnreadable = false;
  const std::optional<double> before = known.mPerSecond;
  if (before == aPerSecond) {
    return;
  }
  mChanges.push_back({ .mUpstream = aUpstream,
                       .mBefore = before,
                       .mNow = aPerSecond,
                       .mFromPeer = aTold,
                       .mLasted = before ? aNow - known.mSince : Millis(0) });
  known.mPerSecond = aPerSecond;
  known.mToldAt.reset();
  known.mSince = before ? known.mSince : aNow;
  mHasNews = true;
}

void
UpstreamLimits::Forget(const UpstreamId& aUpstream)
{
  mKnown.erase(aUpstream);
}

std::optional<double>
UpstreamLimits::Of(const UpstreamId& aUpstream) const
{
  const auto place = mKnown.find(aUpstream);
  return place == mKnown.end() ? std::nullopt : place->second.mPerSecond;
}

LimitReport
UpstreamLimits::ReportOf(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto place = mKnown.find(aUpstream);
  if (place == mKnown.end()) {
    return { .mUpstream = aUpstream };
  }
  return { .mUpstream = aUpstream,
           .mPerSecond = place->second.mPerSecond,
           .mAge = aNow - place->second.mAt };
}

std::optional<Millis>
UpstreamLimits::LimitedSince(const UpstreamId& aUpstream) const
{
  const auto place = mKnown.find(aUpstream);
  const bool limited = place != mKnown.end() && place->second.mPerSecond;
  return limited ? std::optional(place->second.mSince) : std::nullopt;
}

size_t
UpstreamLimits::Limited() const
{
  return static_cast<size_t>(
    std::count_if(mKnown.begin(), mKnown.end(), [](const auto& aKnown) {
      return aKnown.second.mPerSecond.has_value();
    }));
}

std::vector<LimitReport>
UpstreamLimits::TakeReports(Millis aNow)
{
  mHasNews = false;
  std::erase_if(mKnown, [aNow](const auto& aKnown) {
    const Known& known = aKnown.second;
    return aNow - known.mAt > (known.mPerSecond ? kForgetSpan : kEndSpan);
  });
  std::vector<LimitReport> words;
  for (auto& [id, known] : mKnown) {
    const bool due = !known.mToldAt || aNow - *known.mToldAt >= kRepeat;
    if (due && words.size() < kMaxReports) {
      known.mToldAt = aNow;
      words.push_back(ReportOf(id, aNow));
    }
  }
  return words;
}

std::vector<LimitChange>
UpstreamLimits::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace trefoilarch
