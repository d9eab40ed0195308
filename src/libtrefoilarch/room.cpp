#include "room.h"

namespace trefoilarch {

Room::Room(RoomOptions aOptions)
  : mOptions(aOptions)
  , mLimit(aOptions.mFirstLimit)
{
}

bool
Room::Fits(uint64_t aTokens) const
{
  if (mRunning == 0)
    return true;
  return mRunning < mOptions.mMostRunning && mInFlight + aTokens <= mLimit;
}

void
Room::Take(uint64_t aTokens)
{
  ++mRunning;
  mInFlight += aTokens;
}

void
Room::Release(uint64_t aTokens)
{
  --mRunning;
  mInFlight -= aTokens;
}

} // namespace trefoilarch
