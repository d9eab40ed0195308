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
 * A concurrency limit that follows measured times. It increases in small steps,
 * faster while times are far below the allowed ones, and decreases
 * multiplicatively in proportion to the excess. A decrease waits until the use
 * has come down to the previous one; otherwise a few slow responses would
 * shrink the limit to its minimum.
 *
 * For an upstream that is slower than allowed even at low load, shrinking the
 * limit would gain nothing. Times are therefore also compared with the best
 * measured one, which slowly expires: times near it cannot be improved by a
 * lower limit.
 */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(AdaptiveLimitOptions aOptions);

  /**
   * Adds a measured time of that cause, as a multiple of the allowed time. The
   * cause with the higher mean decides.
   */
  void OnMeasured(size_t aCause, double aRatio, double aWeight);
  /** A request was kept out by the limit. */
  void OnLimited() { mLimited = true; }
  /** Changes the limit if a window of measurements is complete. */
  void Adapt(uint64_t aUsed, Millis aNow);

  static constexpr size_t kCauses = 2;

  uint64_t Value() const { return mValue; }

private:
  void Decrease(double aRatio, uint64_t aUsed);
  void Increase(double aRatio);
  /** Returns the window's ratio relative to the upstream's best. */
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
