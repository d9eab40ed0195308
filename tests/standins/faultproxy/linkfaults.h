#pragma once

#include <cstdint>

namespace standin {

/** Direction of the bytes: up is from the client to the target. */
enum class Direction
{
  Up,
  Down,
};

/** Faults that apply to all connections of a relay. */
struct LinkFaults
{
  int64_t mDelay = 0;      /**< milliseconds, each direction */
  int64_t mThrottle = 0;   /**< bytes per second, each direction; 0: no limit */
  int64_t mCutAfter = 0;   /**< bytes down on one connection; 0: never */
  bool mRefuseNew = false; /**< new connections are reset at once */
  bool mSilenceNew = false; /**< new connections forward nothing */
};

/** Counters of a relay since its start. */
struct LinkCounts
{
  uint64_t mConnections = 0;
  uint64_t mOpen = 0;
  uint64_t mBytesUp = 0;
  uint64_t mBytesDown = 0;
  uint64_t mDiscardedBytes = 0;
  uint64_t mCuts = 0;
};

} // namespace standin
