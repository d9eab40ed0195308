#pragma once

#include <algorithm>
#include <cstdint>

namespace trefoilarch {

/** A mean in which the newest sample has a fixed weight. The first samples have
 * equal weights, so that the mean is usable from the start. */
class RunningMean
{
public:
  explicit RunningMean(double aNewestWeight)
    : mNewestWeight(aNewestWeight)
  {
  }

  void Add(double aSample)
  {
    mSamples++;
    const double weight = std::max(mNewestWeight, 1.0 / mSamples);
    mValue += weight * (aSample - mValue);
  }
  /** 0 before the first sample. */
  double Value() const { return mValue; }

private:
  double mNewestWeight;
  double mValue = 0;
  uint32_t mSamples = 0;
};

} // namespace trefoilarch
