#pragma once

#include "millis.h"

#include <algorithm>
#include <cstdint>

namespace trefoilarch {

/** Usage windows of a fixed length; window 0 starts at Unix time 0. */
class UsageWindows
{
public:
  explicit constexpr UsageWindows(Millis aLength)
    : mLength(aLength)
  {
  }

  constexpr Millis Length() const { return mLength; }

  /** The window that contains the Unix time. */
  constexpr uint64_t At(Millis aUnixTime) const
  {
    return static_cast<uint64_t>(
      std::max<int64_t>(0, aUnixTime.Count() / mLength.Count()));
  }
  /** The Unix time at which the window ends. */
  constexpr Millis EndOf(uint64_t aWindow) const
  {
    return mLength * static_cast<int64_t>(aWindow + 1);
  }

private:
  Millis mLength;
};

} // namespace trefoilarch
