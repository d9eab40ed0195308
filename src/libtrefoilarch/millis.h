#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace trefoilarch {

/**
 * A point in monotonic time, or a span of it, in milliseconds.
 *
 * The library never reads a clock: every call that needs the time takes it as
 * an argument, or through a Clock hook.
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
  friend constexpr Millis operator*(Millis aSpan, int64_t aFactor)
  {
    return Millis(aSpan.mCount * aFactor);
  }
  friend constexpr Millis operator/(Millis aSpan, int64_t aDivisor)
  {
    return Millis(aSpan.mCount / aDivisor);
  }

  /** Later than any time that is ever reached. */
  static constexpr Millis Never() { return Millis(INT64_MAX / 4); }

private:
  int64_t mCount = 0;
};

/** Tells the monotonic time. */
using Clock = std::function<Millis()>;

} // namespace trefoilarch
