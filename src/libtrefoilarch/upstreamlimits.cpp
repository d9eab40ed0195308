#include "upstreamlimits.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Interval at which an unchanged limit is reported again, since datagrams may
 * be lost. */
constexpr Millis kRepeatInterval{ 2000 };

/** How long the end of a limit is reported. */
constexpr Millis kEndRetention{ 10000 };

/** A limit that no response has shown for this long is forgotten. The next
 * response states it again. */
constexpr Millis kLimitRetention{ 60000 };

} // namespace

void
UpstreamLimits::OnAnswer(const UpstreamId& aUpstream,
                         const std::optional<NamedLimit>& aLimit,
                         Millis aSentAt,
                         Millis aNow)
{
  if (aLimit && !aLimit->mPerSecond) {
    LimitState& state = mStates[aUpstream];
    if (!std::exchange(state.mUnreadable, true)) {
      mChanges.push_back({ .mUpstream = aUpstream,
                           .mBefore = state.mPerSecond,
                           .mNow = state.mPerSecond,
                           .mUnreadable = true });
    }
    return;
  }
  if (aLimit) {
    Take(aUpstream, aLimit->mPerSecond, aNow, false, aNow);
  } else if (mStates.contains(aUpstream)) {
    // The response to a request from before the limit may arrive after the
    // first response with it.
    Take(aUpstream, std::nullopt, aSentAt, false, aNow);
  }
}

void
UpstreamLimits::OnPeerReport(const LimitReport& aReport, Millis aNow)
{
  const bool isKnown = mStates.contains(aReport.mUpstream);
  if (aReport.mPerSecond || isKnown) {
    Take(
      aReport.mUpstream, aReport.mPerSecond, aNow - aReport.mAge, true, aNow);
  }
}

void
UpstreamLimits::Take(const UpstreamId& aUpstream,
                     std::optional<double> aPerSecond,
                     Millis aObservedAt,
                     bool aFromPeer,
                     Millis aNow)
{
  const auto [it, inserted] = mStates.try_emplace(aUpstream);
  LimitState& state = it->second;
  if (!inserted && aObservedAt <= state.mObservedAt) {
    return;
  }
  state.mObservedAt = aObservedAt;
  state.mUnreadable = false;
  const std::optional<double> before = state.mPerSecond;
  if (before == aPerSecond) {
    return;
  }
  mChanges.push_back({ .mUpstream = aUpstream,
                       .mBefore = before,
                       .mNow = aPerSecond,
                       .mFromPeer = aFromPeer,
                       .mLasted = before ? aNow - state.mSince : Millis(0) });
  state.mPerSecond = aPerSecond;
  state.mReportedAt.reset();
  state.mSince = before ? state.mSince : aNow;
  mHasUpdate = true;
}

void
UpstreamLimits::Forget(const UpstreamId& aUpstream)
{
  mStates.erase(aUpstream);
}

std::optional<double>
UpstreamLimits::Of(const UpstreamId& aUpstream) const
{
  const auto it = mStates.find(aUpstream);
  return it == mStates.end() ? std::nullopt : it->second.mPerSecond;
}

LimitReport
UpstreamLimits::ReportOf(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto it = mStates.find(aUpstream);
  if (it == mStates.end()) {
    return { .mUpstream = aUpstream };
  }
  return { .mUpstream = aUpstream,
           .mPerSecond = it->second.mPerSecond,
           .mAge = aNow - it->second.mObservedAt };
}

std::optional<Millis>
UpstreamLimits::LimitedSince(const UpstreamId& aUpstream) const
{
  const auto it = mStates.find(aUpstream);
  const bool limited = it != mStates.end() && it->second.mPerSecond;
  return limited ? std::optional(it->second.mSince) : std::nullopt;
}

size_t
UpstreamLimits::Limited() const
{
  return static_cast<size_t>(
    std::count_if(mStates.begin(), mStates.end(), [](const auto& aEntry) {
      return aEntry.second.mPerSecond.has_value();
    }));
}

std::vector<LimitReport>
UpstreamLimits::TakeReports(Millis aNow)
{
  mHasUpdate = false;
  std::erase_if(mStates, [aNow](const auto& aEntry) {
    const LimitState& state = aEntry.second;
    return aNow - state.mObservedAt >
           (state.mPerSecond ? kLimitRetention : kEndRetention);
  });
  std::vector<LimitReport> reports;
  for (auto& [id, state] : mStates) {
    const bool due =
      !state.mReportedAt || aNow - *state.mReportedAt >= kRepeatInterval;
    if (due && reports.size() < kMaxReports) {
      state.mReportedAt = aNow;
      reports.push_back(ReportOf(id, aNow));
    }
  }
  return reports;
}

std::vector<LimitChange>
UpstreamLimits::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace trefoilarch
