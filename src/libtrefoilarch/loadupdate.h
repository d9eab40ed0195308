#pragma once

#include "ids.h"
#include "millis.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** How fast an upstream is, as measured by the sender of the update. */
struct UpstreamPerformanceReport
{
  UpstreamId mUpstream;
  /** Start of its incarnation in Unix milliseconds; 0 if unknown. */
  int64_t mStartTime = 0;
  /** Lasting time of work relative to the median of its service; 2 is twice as
   * slow. */
  double mSpeedFactor = 1;
  /** Samples behind mSpeedFactor, at most 255. */
  uint32_t mSamples = 0;
  /** The stated factor of the time of work now, where 1 is usual; 0 if the
   * sender has received none. */
  double mContention = 0;
  Millis mContentionAge;

  bool operator==(const UpstreamPerformanceReport&) const = default;
};

/** Engine memory that the sender's requests use or will use. */
struct EngineMemoryReport
{
  UpstreamId mUpstream;
  /** In use now: prompts less cached shared segments, and outputs so far. */
  uint32_t mTokens = 0;
  /** Further output tokens expected. */
  uint32_t mExpectedTokens = 0;

  bool operator==(const EngineMemoryReport&) const = default;
};

/** What a workspace requests of a service through the sender, in milliseconds
 * of engine time per second. */
struct WorkspaceDemandReport
{
  std::string mService;
  std::string mWorkspace;
  /** 0 is the most urgent. */
  uint8_t mTier = 0;
  double mDemand = 0;
  /** The part of the demand that was admitted. */
  double mServed = 0;

  bool operator==(const WorkspaceDemandReport&) const = default;
};

/**
 * What an entry tells others about load that upstreams don't report. Each
 * message replaces the last one of its sender for the subjects that it names;
 * messages may be lost, duplicated, delayed or reordered.
 */
struct LoadUpdate
{
  std::string mFrom;
  /** Identifies the process among those of the same name. */
  uint64_t mProcess = 0;
  /** Increases with each message of a process. */
  uint64_t mSequence = 0;
  std::vector<UpstreamPerformanceReport> mPerformance;
  std::vector<EngineMemoryReport> mMemory;
  std::vector<WorkspaceDemandReport> mDemands;

  /** Minimum interval between two updates of an entry. In a large fleet each
   * sends to 40 others: 24 KB/s if all updates are of the maximum size. */
  static Millis Interval(size_t aEntries)
  {
    constexpr size_t kMaxFullMesh = 41;
    return aEntries > kMaxFullMesh ? Millis(2000) : Millis(500);
  }

  bool operator==(const LoadUpdate&) const = default;
};

} // namespace trefoilarch
