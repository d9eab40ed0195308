#include "usagecounter.h"

namespace trefoilarch {

UsageCounter::UsageCounter(UsageCounterOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
UsageCounter::Count(const std::string& aWorkspace, Millis aUnixTime)
{
  Window& window = mKept[mOptions.mWindows.At(aUnixTime)];
  window.mCounts[aWorkspace]++;
  window.mTotal++;
  window.mChanged = true;
}

std::vector<UsageUpdate>
UsageCounter::TakeDue(Millis aUnixTime, Millis aWallTime, Millis aNow)
{
  const uint64_t current = mOptions.mWindows.At(aUnixTime);
  std::erase_if(mKept, [&](const auto& aEntry) {
    const Millis end = mOptions.mWindows.EndOf(aEntry.first);
    // Only a window that has ended can be fixed.
    const bool isFixed = aEntry.first <= mFixed && mFixed < current;
    return isFixed || end + mOptions.mRetention < aUnixTime;
  });
  mKept[current];
  mTakenAt = current;
  std::vector<UsageUpdate> updates;
  for (auto& [number, window] : mKept) {
    const bool closed = number < current;
    window.mChanged = window.mChanged || closed != window.mClosed;
    window.mClosed = closed;
    if (!IsDue(window, aNow)) {
      continue;
    }
    AppendUpdates(updates, number, window, aWallTime);
    window.mChanged = false;
    window.mSentAt = aNow;
  }
  return updates;
}

bool
UsageCounter::IsDue(const Window& aWindow, Millis aNow) const
{
  return aWindow.mChanged ||
         aNow - aWindow.mSentAt >= mOptions.mHeartbeatInterval;
}

void
UsageCounter::AppendUpdates(std::vector<UsageUpdate>& aUpdates,
                            uint64_t aNumber,
                            const Window& aWindow,
                            Millis aWallTime) const
{
  UsageUpdate update{ .mEntry = mOptions.mEntry,
                      .mProcess = mOptions.mProcess,
                      .mWallTime = aWallTime,
                      .mWindow = aNumber,
                      .mTotal = aWindow.mTotal,
                      .mClosed = aWindow.mClosed };
  for (const auto& [workspace, count] : aWindow.mCounts) {
    update.mCounts.push_back({ .mWorkspace = workspace, .mCount = count });
    if (update.mCounts.size() >= mOptions.mMaxCounts) {
      aUpdates.push_back(update);
      update.mCounts.clear();
    }
  }
  if (!update.mCounts.empty() || aWindow.mCounts.empty()) {
    aUpdates.push_back(std::move(update));
  }
}

} // namespace trefoilarch
