#pragma once

#include "millis.h"

namespace trefoilarch {

/**
 * A reading of the store's clock from one of its responses. The store read its
 * clock between the sending of the query and the arrival of the response, so a
 * local time corresponds to a range of store times.
 */
struct StoreClockReading
{
  Millis mSentAt;
  Millis mReceivedAt;
  Millis mStoreTime;

  /** The earliest possible store time at a local time. */
  Millis Earliest(Millis aNow) const
  {
    return mStoreTime + (aNow - mReceivedAt);
  }
  /** The latest possible store time at a local time. */
  Millis Latest(Millis aNow) const { return mStoreTime + (aNow - mSentAt); }
  /** The local time from which the store time is at least aStoreTime. */
  Millis ReachedAt(Millis aStoreTime) const
  {
    return mReceivedAt + (aStoreTime - mStoreTime);
  }
  /** The local time before which the store time is below aStoreTime. */
  Millis BeforeUntil(Millis aStoreTime) const
  {
    return mSentAt + (aStoreTime - mStoreTime);
  }

  bool operator==(const StoreClockReading&) const = default;
};

} // namespace trefoilarch
