#pragma once

#include <cstdint>

namespace standin {

/** Which way bytes flow: up is from the client to the target. */
enum class Way
{
  Up,
  Down,
};

/** Faults that every connection of a relay is under. */
struct LinkFaults
{
  int64_t mDelay = 0;       /**< milliseconds, each way */
  int64_t mThrottle = 0;    /**< bytes a second, each way; 0: no limit */
  int64_t mCutAfter = 0;    /**< bytes down on one connection; 0: never */
  bool mRefuseNew = false;  /**< new connections are reset at once */
  bool mSilenceNew = false; /**< new connections are silent both ways */
};

/** What has gone through a relay since its start. */
struct LinkCounts
{
  uint64_t mConnections = 0;
  uint64_t mOpen = 0;
  uint64_t mBytesUp = 0;
  uint64_t mBytesDown = 0;
  uint64_t mSwallowed = 0;
  uint64_t mCuts = 0;
};

} // namespace standin
