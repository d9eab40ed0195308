#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>

namespace trefoilarch {

/**
 * When a belief was last known to be the source's newest. Instants are of a
 * clock that counts the time in which the machine was suspended.
 */
class Freshness
{
public:
  /** The belief was the newest at that instant; an older word is ignored. */
  void Confirm(Millis aAt)
  {
    if (!mAt || *mAt < aAt) {
      mAt = aAt;
    }
  }

  /** Whether it was confirmed within the span; never, if it never was. */
  bool IsWithin(Millis aSpan, Millis aNow) const
  {
    return mAt && aNow - *mAt < aSpan;
  }

  /** Never() where it was never confirmed. */
  Millis Age(Millis aNow) const { return mAt ? aNow - *mAt : Millis::Never(); }

private:
  std::optional<Millis> mAt;
};

/**
 * Dates answers of another process by the steady clock reading that they
 * carry. An answer to a long poll was made long after the poll was sent; by
 * its own reading it can be dated to within a round trip, and never too late.
 */
class RemoteClock
{
public:
  /**
   * The earliest instant at which an answer can have been made that was asked
   * for at aAsked and carries that reading. Readings that jump back, as after
   * a restart of the other process, start the estimate anew.
   */
  Millis DateOf(Millis aAsked, Millis aReading)
  {
    const Millis offset = aAsked - aReading;
    if (!mOffset || aReading < mLastReading || *mOffset < offset) {
      mOffset = offset;
    }
    mLastReading = aReading;
    return aReading + *mOffset;
  }

  /** Forgets everything, for instance once the other side was lost. */
  void Reset() { mOffset.reset(); }

private:
  /** Own time less the other's, at the least. */
  std::optional<Millis> mOffset;
  Millis mLastReading;
};

} // namespace trefoilarch
