#pragma once

#include "millis.h"

#include <cstdint>
#include <cstdlib>
#include <optional>

namespace trefoilarch {

/**
 * The last time at which a local copy was known to be up to date. Times are of
 * a clock that continues while the machine is suspended.
 */
class Freshness
{
public:
  /** The copy was up to date at that time. An earlier time is ignored. */
  void Confirm(Millis aAt)
  {
    if (!mConfirmedAt || *mConfirmedAt < aAt) {
      mConfirmedAt = aAt;
    }
  }

  /** Whether it was confirmed within that time. False if it never was. */
  bool IsWithin(Millis aMaxAge, Millis aNow) const
  {
    return mConfirmedAt && aNow - *mConfirmedAt < aMaxAge;
  }

  /** Empty if it was never confirmed. */
  std::optional<Millis> At() const { return mConfirmedAt; }

  /** Millis::Never() if it was never confirmed. */
  Millis Age(Millis aNow) const
  {
    return mConfirmedAt ? aNow - *mConfirmedAt : Millis::Never();
  }

  /** The age in milliseconds for logs and gauges, or -1 if it was never
   * confirmed. */
  int64_t AgeMs(Millis aNow) const
  {
    return mConfirmedAt ? Age(aNow).Count() : -1;
  }

private:
  std::optional<Millis> mConfirmedAt;
};

/**
 * Converts the steady-clock times in responses of another process to local
 * time. The response to a long poll is made long after the poll was sent. The
 * remote time in the response gives its local time to within a round trip, and
 * never too late.
 */
class RemoteClock
{
public:
  /**
   * Returns the earliest local time at which a response with that remote time
   * can have been made, for a request sent at aSentAt. A remote time that jumps
   * back, as after a restart of the other process, restarts the estimate.
   */
  Millis RespondedAt(Millis aSentAt, Millis aRemoteTime)
  {
    const bool jumpedBack = aRemoteTime < mLastRemoteTime;
    if (!mOffset || jumpedBack || Estimate(aRemoteTime) <= aSentAt) {
      mOffset = aSentAt - aRemoteTime;
      mMeasuredAt = aSentAt;
    }
    mLastRemoteTime = aRemoteTime;
    return Estimate(aRemoteTime);
  }

  /**
   * Returns the earliest local time at which the other clock can have shown
   * that remote time, if it was forwarded by other processes. Empty if the
   * offset is unknown, or if the time cannot be of the same clock.
   */
  std::optional<Millis> LocalTimeOf(Millis aRemoteTime, Millis aNow) const
  {
    if (!mOffset || Estimate(aRemoteTime) > aNow) {
      return std::nullopt;
    }
    return Estimate(aRemoteTime);
  }

  /** Whether a response without delay is needed: the offset is unknown, or was
   * measured so long ago that the drift allowance has become large. */
  bool NeedsMeasurement(Millis aNow) const
  {
    return aNow > NextMeasurementAt();
  }

  /** No such response is needed before this time. */
  Millis NextMeasurementAt() const
  {
    return mOffset ? mMeasuredAt + kMeasurementInterval : Millis(-1);
  }

  /** Forgets the offset, for example when the other process became
   * unreachable. */
  void Reset() { mOffset.reset(); }

private:
  /** Clocks of hosts drift by 100 parts in a million or less. One part in this
   * many is allowed for. */
  static constexpr int64_t kDriftDivisor = 2000;

  /** Limits the drift allowance to 150 ms. */
  static constexpr Millis kMeasurementInterval{ 300000 };

  /** Applies the measured offset, less the possible drift since the
   * measurement. */
  Millis Estimate(Millis aRemoteTime) const
  {
    const Millis madeAt = aRemoteTime + *mOffset;
    const int64_t elapsed = std::abs((madeAt - mMeasuredAt).Count());
    return madeAt - Millis(elapsed / kDriftDivisor);
  }

  /** Lower bound of local time minus remote time, at the measurement. */
  std::optional<Millis> mOffset;
  Millis mMeasuredAt;
  Millis mLastRemoteTime;
};

} // namespace trefoilarch
