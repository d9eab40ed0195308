#pragma once

#include "millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** A workspace's requests in a window. */
struct WorkspaceCount
{
  std::string mWorkspace;
  uint64_t mCount = 0;

  bool operator==(const WorkspaceCount&) const = default;
};

/**
 * The requests that upstreams began for one entry in one usage window. Counts
 * of a window only grow, so updates may be lost, repeated or reordered.
 */
struct UsageUpdate
{
  /** The entry's name, and a number unique to its process. */
  std::string mEntry;
  uint64_t mProcess = 0;
  /** The Unix time by the entry's own clock when it sent the update. */
  Millis mWallTime;
  uint64_t mWindow = 0;
  /** The window's requests of all workspaces; a large window needs several
   * updates. */
  uint64_t mTotal = 0;
  /** The window has ended at the entry. */
  bool mClosed = false;
  std::vector<WorkspaceCount> mCounts;

  bool operator==(const UsageUpdate&) const = default;
};

/** The response of the entry that reports the usage. */
struct UsageReply
{
  uint64_t mFencingToken = 0;
  /** The Unix time that the fleet has agreed on, when the reply was sent. */
  Millis mUnixTime;
  /** The last window whose report is fixed: its counts are of no more use. */
  uint64_t mFixedWindow = 0;

  bool operator==(const UsageReply&) const = default;
};

} // namespace trefoilarch
