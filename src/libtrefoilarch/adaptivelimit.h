#pragma once

#include "millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace trefoilarch {

/** Bounds of an AdaptiveLimit. */
struct AdaptiveLimitOptions
{
  uint64_t mInitial = 0;
  uint64_t mMin = 1;
  uint64_t mMax = 0;
};

/**
 * A limit that follows measured times. Increase in small steps, faster while
 * the times are far inside what is allowed, and multiplicative decrease in
 * proportion to the excess; a decrease waits until the use has come down to
 * the one before, or a few slow answers would close the limit altogether.
 *
 * An upstream that is slower than allowed even when little runs would close
 * the limit for nothing. So the times are judged by the best that was measured
 * as well, which is slowly forgotten: what is near it no limit can better.
 */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(AdaptiveLimitOptions aOptions);

  /**
   * A measured time of that cause, as a multiple of what it may be at the
   * most. The cause whose mean is worse decides.
   */
  void OnMeasured(size_t aCause, double aRatio, double aWeight);
  /** Somebody was kept out by the limit. */
  void OnLimited() { mLimited = true; }
  /** Moves the limit if a window of measurements is complete. */
  void Adapt(uint64_t aUsed, Millis aNow);

  static constexpr size_t kCauses = 2;

  uint64_t Value() const { return mValue; }

private:
  void Decrease(double aRatio, uint64_t aUsed);
  void Increase(double aRatio);
  /** The window's ratio by what the upstream can do at best. */
  double NormalizeRatio(double aRatio);

  AdaptiveLimitOptions mOptions;
  uint64_t mValue;
  std::array<double, kCauses> mRatioSum{};
  std::array<double, kCauses> mWeightSum{};
  bool mLimited = false;
  double mBestRatio = 0;
  Millis mWindowStart;
};

} // namespace trefoilarch
