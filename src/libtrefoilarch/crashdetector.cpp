#include "crashdetector.h"

#include <utility>

namespace trefoilarch {

namespace {

/** A silent upstream is unlisted within three heartbeats of a few seconds. */
constexpr Millis kExplanationWindow{ 15000 };

/** All connections of a process end at the same moment. One that broke earlier
 * had another cause. */
constexpr Millis kSimultaneousWindow{ 500 };

/** More than the number of concurrent requests of an upstream. */
constexpr size_t kMaxLostConnections = 256;

} // namespace

bool
CrashDetector::OnConnectionLost(const UpstreamIncarnation& aIncarnation,
                                const RequestFeatures& aRequest,
                                Millis aNow)
{
  IncarnationState& state = mStates[aIncarnation];
  state.mChangedAt = aNow;
  if (state.mEnded) {
    return true;
  }
  state.mIsListening = false;
  if (state.mLostConnections.size() < kMaxLostConnections) {
    state.mLostConnections.push_back({ .mRequest = aRequest, .mLostAt = aNow });
  }
  return false;
}

CrashDetector::Suspects
CrashDetector::OnEnded(const UpstreamIncarnation& aIncarnation, Millis aNow)
{
  const auto it = mStates.find(aIncarnation);
  if (it == mStates.end() || it->second.mEnded) {
    return {};
  }
  IncarnationState& state = it->second;
  state.mEnded = true;
  state.mChangedAt = aNow;
  const std::vector<LostConnection> lostConnections =
    std::exchange(state.mLostConnections, {});
  std::vector<RequestFeatures> requests;
  for (const LostConnection& each : lostConnections) {
    if (lostConnections.back().mLostAt - each.mLostAt <= kSimultaneousWindow) {
      requests.push_back(each.mRequest);
    }
  }
  return DistinctFeatures(requests);
}

void
CrashDetector::OnEndReported(const UpstreamIncarnation& aIncarnation,
                             Millis aNow)
{
  IncarnationState& state = mStates[aIncarnation];
  state.mEnded = true;
  state.mChangedAt = aNow;
}

void
CrashDetector::OnLeaving(const UpstreamIncarnation& aIncarnation)
{
  mStates.erase(aIncarnation);
}

void
CrashDetector::OnListening(const UpstreamIncarnation& aIncarnation)
{
  const auto it = mStates.find(aIncarnation);
  if (it != mStates.end()) {
    it->second.mIsListening = true;
  }
}

bool
CrashDetector::IsCrashSuspected(const UpstreamIncarnation& aIncarnation) const
{
  const auto it = mStates.find(aIncarnation);
  return it != mStates.end() && !it->second.mEnded && !it->second.mIsListening;
}

bool
CrashDetector::HasEnded(const UpstreamIncarnation& aIncarnation) const
{
  const auto it = mStates.find(aIncarnation);
  return it != mStates.end() && it->second.mEnded;
}

void
CrashDetector::Expire(Millis aNow)
{
  std::erase_if(mStates, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mChangedAt > kExplanationWindow;
  });
}

} // namespace trefoilarch
