#pragma once

#include "millis.h"

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

/** What one running attempt takes of a Room. */
struct RoomShare
{
  uint64_t mTokens = 0;
  /** Beside the room: a floor start, which takes nobody's place. */
  bool mBeside = false;
};

/**
 * How much the upstream may be given at a time, in tokens and in calls.
 *
 * The limit on tokens follows the measured times: it falls in proportion when
 * they exceed the strictest targets present, once for each time that the
 * tokens in flight have come down to it, and rises by a fixed step while more
 * is wanted and the times are well inside. It never closes: a request of any
 * size fits where nothing runs. Plain services are counted in calls.
 */
class Room
{
public:
  explicit Room(RoomOptions aOptions);

  bool Fits(uint64_t aTokens) const;
  /** Tokens that must be released before that many fit; 1 for a mere place. */
  uint64_t Shortfall(uint64_t aTokens) const;

  void Take(RoomShare aShare);
  void Release(RoomShare aShare);

  /** A measured time as a multiple of what it may be at the most. */
  void OnMeasured(double aRatio, double aWeight);
  /** Somebody waits for more room. */
  void OnWanted() { mWanted = true; }
  /** Moves the limit if a window of measurements is complete. */
  void Adapt(Millis aNow);

  /** The upstream could not be reached: pauses, longer each time. */
  void OnUnreachable(Millis aNow);
  void OnReached() { mUnreached = 0; }
  /** Nothing may start before PauseEnd(). */
  bool IsPaused(Millis aNow) const { return aNow < mPauseEnd; }
  Millis PauseEnd() const { return mPauseEnd; }

  uint64_t Limit() const { return mLimit; }
  size_t MostRunning() const { return mOptions.mMostRunning; }
  /** Tokens in flight, those beside the room with them. */
  uint64_t InFlight() const { return mInFlight + mInFlightBeside; }
  size_t Running() const { return mRunning + mRunningBeside; }

private:
  void Shrink(double aRatio);
  void Widen();

  RoomOptions mOptions;
  uint64_t mLimit;
  uint64_t mInFlight = 0;
  uint64_t mInFlightBeside = 0;
  size_t mRunning = 0;
  size_t mRunningBeside = 0;
  double mRatioSum = 0;
  double mWeightSum = 0;
  bool mWanted = false;
  Millis mWindowStart;
  uint32_t mUnreached = 0;
  Millis mPauseEnd;
};

} // namespace trefoilarch
