#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <tuple>
#include <vector>

namespace trefoilarch {

/** The distribution of ratios of actual to expected time. Starts with a prior
 * that weighs as much as some samples. */
class RatioSpread
{
public:
  RatioSpread();

  void Add(double aRatio);
  /** Reduces the weight of all ratios so far to that part. */
  void Decay(double aPart);
  /** The ratio that is not exceeded with that probability. */
  double Quantile(double aProbability) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram =
    boost::histogram::histogram<std::tuple<Axis>,
                                boost::histogram::dense_storage<double>>;

  Histogram mRatios;
  double mSum = 0;
};

} // namespace trefoilarch
