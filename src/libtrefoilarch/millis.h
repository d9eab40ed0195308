#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace trefoilarch {

/**
 * A point in monotonic time or a duration, in milliseconds.
 *
 * The library never reads a clock: the caller passes the time as an argument
 * or through a Clock hook.
 */
class Millis
{
public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t aCount)
    : mCount(aCount)
  {
  }

  constexpr int64_t Count() const { return mCount; }

  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis& operator+=(Millis aOther)
  {
    mCount += aOther.mCount;
    return *this;
  }
  constexpr Millis& operator-=(Millis aOther)
  {
    mCount -= aOther.mCount;
    return *this;
  }
  friend constexpr Millis operator+(Millis aLeft, Millis aRight)
  {
    return Millis(aLeft.mCount + aRight.mCount);
  }
  friend constexpr Millis operator-(Millis aLeft, Millis aRight)
  {
    return Millis(aLeft.mCount - aRight.mCount);
  }
  friend constexpr Millis operator*(Millis aDuration, int64_t aFactor)
  {
    return Millis(aDuration.mCount * aFactor);
  }
  friend constexpr Millis operator/(Millis aDuration, int64_t aDivisor)
  {
    return Millis(aDuration.mCount / aDivisor);
  }

  /** Later than any time that occurs. */
  static constexpr Millis Never() { return Millis(INT64_MAX / 4); }

private:
  int64_t mCount = 0;
};

/** Returns the monotonic time. */
using Clock = std::function<Millis()>;

} // namespace trefoilarch
