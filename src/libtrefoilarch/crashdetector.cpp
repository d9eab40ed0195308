#include "crashdetector.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** An upstream that says nothing is off the list within three heartbeats of
 * some seconds. */
constexpr Millis kExplainedWithin{ 15000 };

/** All connections of a process end at the same moment; what broke earlier
 * broke for another reason. */
constexpr Millis kSameMoment{ 500 };

/** What an upstream runs at a time, and more. */
constexpr size_t kMostLosses = 256;

} // namespace

bool
CrashDetector::OnConnectionLost(const UpstreamIncarnation& aStart,
                                const RequestFingerprint& aRequest,
                                Millis aNow)
{
  Watched& watched = mWatched[aStart];
  watched.mChangedAt = aNow;
  if (watched.mEnded) {
    return true;
  }
  watched.mListens = false;
  if (watched.mLosses.size() < kMostLosses) {
    watched.mLosses.push_back({ .mRequest = aRequest, .mAt = aNow });
  }
  return false;
}

CrashDetector::Suspects
CrashDetector::OnEnded(const UpstreamIncarnation& aStart, Millis aNow)
{
  const auto place = mWatched.find(aStart);
  if (place == mWatched.end() || place->second.mEnded) {
    return {};
  }
  Watched& watched = place->second;
  watched.mEnded = true;
  watched.mChangedAt = aNow;
  const std::vector<Loss> losses = std::exchange(watched.mLosses, {});
  Suspects suspects;
  for (const Loss& each : losses) {
    if (losses.back().mAt - each.mAt <= kSameMoment) {
      suspects.push_back(each.mRequest);
    }
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

void
CrashDetector::OnLeaving(const UpstreamIncarnation& aStart)
{
  mWatched.erase(aStart);
}

void
CrashDetector::OnListening(const UpstreamIncarnation& aStart)
{
  const auto place = mWatched.find(aStart);
  if (place != mWatched.end()) {
    place->second.mListens = true;
  }
}

bool
CrashDetector::IsCrashSuspected(const UpstreamIncarnation& aStart) const
{
  const auto place = mWatched.find(aStart);
  return place != mWatched.end() && !place->second.mEnded &&
         !place->second.mListens;
}

void
CrashDetector::Expire(Millis aNow)
{
  std::erase_if(mWatched, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mChangedAt > kExplainedWithin;
  });
}

} // namespace trefoilarch
