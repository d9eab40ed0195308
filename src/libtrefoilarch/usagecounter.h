#pragma once

#include "usageupdate.h"
#include "usagewindows.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trefoilarch {

struct UsageCounterOptions
{
  std::string mEntry;
  /** Unique to this process. */
  uint64_t mProcess = 0;
  UsageWindows mWindows{ Millis(5000) };
  /** How long an ended window is kept and sent again. */
  Millis mRetention{ 10000 };
  /** How often unchanged counts are sent. */
  Millis mHeartbeatInterval{ 1000 };
  /** Maximum number of workspaces in one update. */
  size_t mMaxCounts = 64;
};

/**
 * One entry's counts of the requests that upstreams began, by window and
 * workspace, and when to send them to the entries that collect them.
 */
class UsageCounter
{
public:
  explicit UsageCounter(UsageCounterOptions aOptions);

  /** An upstream has begun a request of the workspace. */
  void Count(const std::string& aWorkspace, Millis aUnixTime);

  /** The reports of all windows up to this one are fixed. */
  void OnFixed(uint64_t aWindow) { mFixed = std::max(mFixed, aWindow); }
  /** Whether a window has ended since the last updates were taken. */
  bool HasEndedWindow(Millis aUnixTime) const
  {
    return mOptions.mWindows.At(aUnixTime) != mTakenAt;
  }

  /** The updates that are due: windows with new counts, ended windows until
   * they are no longer kept, and one update at least per heartbeat interval. */
  std::vector<UsageUpdate> TakeDue(Millis aUnixTime,
                                   Millis aWallTime,
                                   Millis aNow);

private:
  struct Window
  {
    std::map<std::string, uint64_t> mCounts;
    uint64_t mTotal = 0;
    bool mChanged = true;
    bool mClosed = false;
    Millis mSentAt;
  };

  bool IsDue(const Window& aWindow, Millis aNow) const;
  void AppendUpdates(std::vector<UsageUpdate>& aUpdates,
                     uint64_t aNumber,
                     const Window& aWindow,
                     Millis aWallTime) const;

  UsageCounterOptions mOptions;
  /** By number; the current one and those that are kept. */
  std::map<uint64_t, Window> mKept;
  uint64_t mFixed = 0;
  /** The current window when updates were last taken. */
  uint64_t mTakenAt = 0;
};

} // namespace trefoilarch
