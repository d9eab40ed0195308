#pragma once

#include "../millis.h"
#include "weightedlog.h"

#include <cstdint>
#include <vector>

namespace trefoilarch {

/**
 * What is known about the speed of one incarnation of an upstream: own samples,
 * the estimates of other entries, and a prior. Samples of an entry are relative
 * to its own expectation; the caller knows the scale.
 */
class SpeedEstimate
{
public:
  /** What others reported expires after this time. */
  static constexpr Millis kHeardLifetime{ 60000 };

  /** aPriorLog: logarithm of the factor that is assumed without samples. */
  explicit SpeedEstimate(double aPriorLog = 0)
    : mPriorLog(aPriorLog)
  {
  }

  /** Adds a ratio of actual to expected time. It is limited to a multiple of
   * aUsual, the ratio expected of this upstream. aCertainty, from 0 to 1, is
   * how well the contention of that time is known. */
  void AddOwn(double aRatio, double aUsual, double aCertainty, Millis aNow);
  /** Replaces the last estimate of that sender. */
  void AddHeard(uint64_t aSender,
                double aFactor,
                uint32_t aSamples,
                Millis aNow);

  bool HasOwn() const { return mOwnSamples > 0; }
  /** Sum of the weights of own samples, at most some thirty; a new sample with
   * certainty weighs 1. */
  double OwnSamples(Millis aNow) const;
  /** Logarithm of the mean own ratio, in units of this entry's expectation. */
  double OwnLog() const;
  /** The same with its weight, which is 0 without samples. */
  WeightedLog Own(Millis aNow) const;
  /** Estimate from the reports of others and the prior. */
  WeightedLog Heard(Millis aNow) const;
  /** Estimate from all. The scales are subtracted from the logarithms of own
   * samples and of reports. The weight excludes the prior. */
  WeightedLog Combined(double aOwnScale, double aHeardScale, Millis aNow) const;

private:
  struct SenderEstimate
  {
    uint64_t mSender = 0;
    double mLog = 0;
    uint32_t mSamples = 0;
    Millis mAt;
  };

  void AppendHeard(std::vector<WeightedLog>& aValues,
                   double aScale,
                   Millis aNow) const;
  WeightedLog WithPrior(std::vector<WeightedLog>& aValues) const;

  double mPriorLog;
  /** Mean of own ratios. */
  double mOwnRatio = 0;
  double mOwnSamples = 0;
  Millis mOwnAt;
  std::vector<SenderEstimate> mHeard;
};

} // namespace trefoilarch
