#pragma once

#include "usageupdate.h"
#include "usagewindows.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace trefoilarch {

struct UsageCollectorOptions
{
  UsageWindows mWindows{ Millis(5000) };
  /** How long an ended window's counts are kept. */
  Millis mRetention{ 30000 };
  /** An entry silent for this long is no longer waited for. */
  Millis mSilenceTimeout{ 15000 };
  /** Age after which an entry's clock is left out of the median. */
  Millis mMaxClockAge{ 5000 };
  /** Updates of further processes are ignored. */
  size_t mMaxProcesses = 4096;
};

/**
 * The usage of the whole fleet from the updates of its entries. Several entries
 * collect, so that the last counts of an entry that was killed, and those of a
 * collector, survive.
 */
class UsageCollector
{
public:
  using Counts = std::map<std::string, uint64_t>;

  explicit UsageCollector(UsageCollectorOptions aOptions);

  /** aUnixTime bounds the windows that are believed. */
  void OnUpdate(const UsageUpdate& aUpdate, Millis aUnixTime, Millis aNow);

  /** The requests by workspace, as far as known. */
  Counts CountsOf(uint64_t aWindow) const;
  /** Whether all entries have reported all of the window. An entry whose
   * process was replaced is not waited for. */
  bool IsComplete(uint64_t aWindow, Millis aNow) const;
  /** The entries that are waited for. */
  size_t Missing(uint64_t aWindow, Millis aNow) const;
  /** The median of the entries' clocks, less the local time; empty if fewer
   * than aMinClocks are known. */
  std::optional<Millis> MedianWallOffset(size_t aMinClocks, Millis aNow) const;

private:
  struct Window
  {
    Counts mCounts;
    uint64_t mTotal = 0;
    bool mClosed = false;
  };
  struct Process
  {
    std::string mEntry;
    Millis mFirstReceivedAt;
    Millis mLastReceivedAt;
    Millis mWallOffset;
    std::map<uint64_t, Window> mWindows;
  };

  void Expire(Millis aUnixTime, Millis aNow);
  bool IsReplaced(const Process& aProcess) const;
  static bool IsWhole(const Process& aProcess, uint64_t aWindow);

  UsageCollectorOptions mOptions;
  std::map<uint64_t, Process> mProcesses;
  Millis mExpiredAt;
};

} // namespace trefoilarch
