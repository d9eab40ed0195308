#include "room.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr Millis kWindow{ 200 };
/** Measurements that make a window. */
constexpr double kLeastWeight = 4;
/** The limit may rise below this multiple of the allowed time. */
constexpr double kWellInside = 0.9;
/** The most that one window takes off the limit. */
constexpr double kLeastFactor = 0.5;
/** Tokens in flight may exceed the limit by this when it shrinks again. */
constexpr double kSettled = 1.05;
/** A rise is this part of the first limit. */
constexpr uint64_t kStepPart = 16;

constexpr Millis kFirstPause{ 100 };
constexpr uint32_t kMostDoublings = 4;

} // namespace

Room::Room(RoomOptions aOptions)
  : mOptions(aOptions)
  , mLimit(aOptions.mFirstLimit)
{
}

bool
Room::Fits(uint64_t aTokens) const
{
  return Shortfall(aTokens) == 0;
}

uint64_t
Room::Shortfall(uint64_t aTokens) const
{
  if (mRunning == 0)
    return 0;
  if (mUnreached > 0)
    return mInFlight + 1;
  if (mInFlight + aTokens > mLimit)
    return mInFlight + aTokens - mLimit;
  return mRunning < mOptions.mMostRunning ? 0 : 1;
}

void
Room::Take(RoomShare aShare)
{
  (aShare.mBeside ? mRunningBeside : mRunning) += 1;
  (aShare.mBeside ? mInFlightBeside : mInFlight) += aShare.mTokens;
}

void
Room::Release(RoomShare aShare)
{
  (aShare.mBeside ? mRunningBeside : mRunning) -= 1;
  (aShare.mBeside ? mInFlightBeside : mInFlight) -= aShare.mTokens;
}

void
Room::OnMeasured(double aRatio, double aWeight)
{
  mRatioSum += aRatio * aWeight;
  mWeightSum += aWeight;
}

void
Room::Adapt(Millis aNow)
{
  if (aNow < mWindowStart + kWindow || mWeightSum < kLeastWeight)
    return;
  const double ratio = mRatioSum / mWeightSum;
  if (ratio > 1)
    Shrink(ratio);
  else if (ratio < kWellInside && mWanted)
    Widen();
  mWindowStart = aNow;
  mRatioSum = 0;
  mWeightSum = 0;
  mWanted = false;
}

void
Room::Shrink(double aRatio)
{
  const auto limit = static_cast<double>(mLimit);
  const auto inFlight = static_cast<double>(mInFlight);
  if (inFlight > limit * kSettled)
    return;
  const double factor = std::max(kLeastFactor, 1 / aRatio);
  const double next = std::min(limit, inFlight) * factor;
  mLimit = std::max<uint64_t>(static_cast<uint64_t>(next), 1);
}

void
Room::Widen()
{
  const uint64_t step = std::max<uint64_t>(mOptions.mFirstLimit / kStepPart, 1);
  mLimit = std::min(mLimit + step, mOptions.mMostLimit);
}

void
Room::OnUnreachable(Millis aNow)
{
  const uint32_t doublings = std::min(mUnreached, kMostDoublings);
  mPauseEnd = aNow + kFirstPause * (int64_t{ 1 } << doublings);
  ++mUnreached;
}

} // namespace trefoilarch
