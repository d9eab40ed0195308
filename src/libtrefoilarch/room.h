#pragma once

#include <cstddef>
#include <cstdint>

namespace trefoilarch {

/** Bounds of a Room. */
struct RoomOptions
{
  uint64_t mFirstLimit = 16384;
  uint64_t mMostLimit = 1048576;
  size_t mMostRunning = 256;
};

/** How much the upstream may be given at a time, in tokens and in calls. */
class Room
{
public:
  explicit Room(RoomOptions aOptions);

  /** A request of any size fits where nothing runs: room is never zero. */
  bool Fits(uint64_t aTokens) const;
  void Take(uint64_t aTokens);
  void Release(uint64_t aTokens);

  uint64_t Limit() const { return mLimit; }
  uint64_t InFlight() const { return mInFlight; }
  size_t Running() const { return mRunning; }

private:
  RoomOptions mOptions;
  uint64_t mLimit;
  uint64_t mInFlight = 0;
  size_t mRunning = 0;
};

} // namespace trefoilarch
