#include "usagecollector.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace trefoilarch {

namespace {

/** Maximum number of workspaces in a window of one process. */
constexpr size_t kMaxWorkspaces = 10000;

constexpr Millis kExpiryInterval{ 1000 };

} // namespace

UsageCollector::UsageCollector(UsageCollectorOptions aOptions)
  : mOptions(aOptions)
{
}

void
UsageCollector::OnUpdate(const UsageUpdate& aUpdate,
                         Millis aUnixTime,
                         Millis aNow)
{
  Expire(aUnixTime, aNow);
  const bool known = mProcesses.contains(aUpdate.mProcess);
  if (!known && mProcesses.size() >= mOptions.mMaxProcesses) {
    return;
  }
  Process& process = mProcesses[aUpdate.mProcess];
  if (!known) {
    process.mEntry = aUpdate.mEntry;
    process.mFirstReceivedAt = aNow;
  }
  process.mLastReceivedAt = aNow;
  process.mWallOffset = aUpdate.mWallTime - aNow;
  const Millis end = mOptions.mWindows.EndOf(aUpdate.mWindow);
  const bool tooOld = end + mOptions.mRetention < aUnixTime;
  const bool tooNew =
    aUpdate.mWindow > mOptions.mWindows.At(aUnixTime + mOptions.mRetention);
  if (tooOld || tooNew) {
    return;
  }
  Window& window = process.mWindows[aUpdate.mWindow];
  window.mTotal = std::max(window.mTotal, aUpdate.mTotal);
  window.mClosed = window.mClosed || aUpdate.mClosed;
  for (const WorkspaceCount& each : aUpdate.mCounts) {
    if (window.mCounts.size() < kMaxWorkspaces) {
      uint64_t& count = window.mCounts[each.mWorkspace];
      count = std::max(count, each.mCount);
    }
  }
}

UsageCollector::Counts
UsageCollector::CountsOf(uint64_t aWindow) const
{
  Counts sums;
  for (const auto& [number, process] : mProcesses) {
    const auto window = process.mWindows.find(aWindow);
    if (window == process.mWindows.end()) {
      continue;
    }
    for (const auto& [workspace, count] : window->second.mCounts) {
      sums[workspace] += count;
    }
  }
  return sums;
}

bool
UsageCollector::IsComplete(uint64_t aWindow, Millis aNow) const
{
  return Missing(aWindow, aNow) == 0;
}

size_t
UsageCollector::Missing(uint64_t aWindow, Millis aNow) const
{
  return static_cast<size_t>(std::count_if(
    mProcesses.begin(), mProcesses.end(), [&](const auto& aEntry) {
      const Process& process = aEntry.second;
      const bool silent =
        aNow - process.mLastReceivedAt > mOptions.mSilenceTimeout;
      return !silent && !IsWhole(process, aWindow) && !IsReplaced(process);
    }));
}

std::optional<Millis>
UsageCollector::MedianWallOffset(size_t aMinClocks, Millis aNow) const
{
  std::vector<Millis> offsets;
  for (const auto& [number, process] : mProcesses) {
    if (aNow - process.mLastReceivedAt <= mOptions.mMaxClockAge) {
      offsets.push_back(process.mWallOffset);
    }
  }
  if (offsets.empty() || offsets.size() < aMinClocks) {
    return std::nullopt;
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

void
UsageCollector::Expire(Millis aUnixTime, Millis aNow)
{
  if (aNow - mExpiredAt < kExpiryInterval) {
    return;
  }
  mExpiredAt = aNow;
  for (auto& [number, process] : mProcesses) {
    std::erase_if(process.mWindows, [&](const auto& aEntry) {
      return mOptions.mWindows.EndOf(aEntry.first) + mOptions.mRetention <
             aUnixTime;
    });
  }
  std::erase_if(mProcesses, [&](const auto& aEntry) {
    const Process& process = aEntry.second;
    return process.mWindows.empty() &&
           aNow - process.mLastReceivedAt > mOptions.mSilenceTimeout;
  });
}

bool
UsageCollector::IsReplaced(const Process& aProcess) const
{
  return std::any_of(
    mProcesses.begin(), mProcesses.end(), [&](const auto& aEntry) {
      const Process& other = aEntry.second;
      return other.mEntry == aProcess.mEntry &&
             other.mFirstReceivedAt > aProcess.mFirstReceivedAt;
    });
}

bool
UsageCollector::IsWhole(const Process& aProcess, uint64_t aWindow)
{
  const auto found = aProcess.mWindows.find(aWindow);
  if (found == aProcess.mWindows.end()) {
    // A process that started later has no requests in the window.
    return !aProcess.mWindows.empty() &&
           aProcess.mWindows.begin()->first > aWindow;
  }
  const Window& window = found->second;
  const uint64_t sum = std::accumulate(
    window.mCounts.begin(),
    window.mCounts.end(),
    uint64_t{ 0 },
    [](uint64_t aSum, const auto& aCount) { return aSum + aCount.second; });
  return window.mClosed && sum >= window.mTotal;
}

} // namespace trefoilarch
