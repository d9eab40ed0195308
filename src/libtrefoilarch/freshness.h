#pragma once

#include "millis.h"

#include <cstdint>
#include <cstdlib>
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

  /** Empty where it was never confirmed. */
  std::optional<Millis> At() const { return mAt; }

  /** Never() where it was never confirmed. */
  Millis Age(Millis aNow) const { return mAt ? aNow - *mAt : Millis::Never(); }

  /** The age for logs and gauges, in milliseconds; -1 for never. */
  int64_t AgeMs(Millis aNow) const { return mAt ? Age(aNow).Count() : -1; }

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
  Millis RespondedAt(Millis aAsked, Millis aReading)
  {
    const bool jumpedBack = aReading < mLastReading;
    if (!mOffset || jumpedBack || Estimate(aReading) <= aAsked) {
      mOffset = aAsked - aReading;
      mMeasuredAt = aAsked;
    }
    mLastReading = aReading;
    return Estimate(aReading);
  }

  /**
   * The earliest instant at which the other clock can have shown that, for a
   * reading that came by others' hands. Empty where nothing is known of the
   * clock, or the reading can't be of the same one.
   */
  std::optional<Millis> LocalTimeOf(Millis aReading, Millis aNow) const
  {
    if (!mOffset || Estimate(aReading) > aNow) {
      return std::nullopt;
    }
    return Estimate(aReading);
  }

  /** Whether an answer that is not held back is due: nothing is known of the
   * other clock, or it is so long ago that much drift has to be allowed for. */
  bool NeedsMeasurement(Millis aNow) const
  {
    return aNow > NextMeasurementAt();
  }

  /** Until then no such answer is wanted. */
  Millis NextMeasurementAt() const
  {
    return mOffset ? mMeasuredAt + kMeasureSpan : Millis(-1);
  }

  /** Forgets everything, for instance once the other side was lost. */
  void Reset() { mOffset.reset(); }

private:
  /** Clocks of hosts differ by 100 parts in a million and less; one part in
   * so many is allowed for. */
  static constexpr int64_t kDriftPart = 2000;

  /** By this, 150 ms are allowed for drift. */
  static constexpr Millis kMeasureSpan{ 300000 };

  /** By what was measured, less what the clocks may have drifted between then
   * and the reading. */
  Millis Estimate(Millis aReading) const
  {
    const Millis made = aReading + *mOffset;
    const int64_t between = std::abs((made - mMeasuredAt).Count());
    return made - Millis(between / kDriftPart);
  }

  /** Own time less the other's, at the least, when it was measured. */
  std::optional<Millis> mOffset;
  Millis mMeasuredAt;
  Millis mLastReading;
};

} // namespace trefoilarch
