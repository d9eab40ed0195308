#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <utility>

namespace trefoilgate {

/** Bounds the log lines of one kind that others can cause, and counts those
 * that were left out. */
class LineLimiter
{
public:
  explicit LineLimiter(uint32_t aLinesPerSecond)
    : mLinesPerSecond(aLinesPerSecond)
  {
  }

  /** Whether a line may be written now. */
  bool Admit(trefoilarch::Millis aNow)
  {
    constexpr trefoilarch::Millis kSecond{ 1000 };
    if (aNow - mSecondStart >= kSecond) {
      mSecondStart = aNow;
      mLines = 0;
    }
    if (mLines >= mLinesPerSecond) {
      mLeftOut++;
      return false;
    }
    mLines++;
    return true;
  }

  /** Lines left out since the last call. */
  uint64_t TakeLeftOut() { return std::exchange(mLeftOut, 0); }

private:
  uint32_t mLinesPerSecond;
  trefoilarch::Millis mSecondStart;
  uint32_t mLines = 0;
  uint64_t mLeftOut = 0;
};

} // namespace trefoilgate
