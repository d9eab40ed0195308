#pragma once

#include "../millis.h"

#include <optional>

namespace trefoilarch {

/** Decides with hysteresis whether an upstream is slow, from its factor. */
class SlowDetector
{
public:
  /** An upstream is slow once its factor has been over the first for kDuration,
   * until it has been under the second for as long. */
  static constexpr double kSlowFactor = 1.5;
  static constexpr double kNormalFactor = 1.25;
  static constexpr Millis kDuration{ 2000 };

  /** Returns whether the state has changed. */
  bool Update(double aFactor, Millis aNow);
  /** Since when the upstream has been slow. */
  const std::optional<Millis>& Since() const { return mSlowSince; }

private:
  std::optional<Millis> mSlowSince;
  /** Since when the factor has been past the bound that ends the state. */
  std::optional<Millis> mPastBoundSince;
};

} // namespace trefoilarch
