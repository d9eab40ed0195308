#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace trefoilarch {

/**
 * Estimates how long a response will be, in tokens, from the complete responses
 * of its class and workspace. Both are histograms on a logarithmic scale whose
 * old entries fade. A workspace with few responses is drawn towards its class,
 * and a class with few towards a fixed default.
 */
class OutputEstimator
{
public:
  OutputEstimator();

  /** A complete response had that many tokens. */
  void Add(const std::string& aClass,
           const std::string& aWorkspace,
           uint32_t aTokens);

  /** The expected length if the caller allows aMaxTokens (0: any). */
  uint32_t Estimate(const std::string& aClass,
                    const std::string& aWorkspace,
                    uint32_t aMaxTokens) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<
    std::tuple<Axis>,
    boost::histogram::storage_adaptor<std::vector<float>>>;

  /** Lengths of one class, or of one workspace in a class. */
  struct Lengths
  {
    Histogram mHistogram;
    float mCount = 0;
  };

  static Histogram NewHistogram();
  static void Add(Lengths& aLengths, uint32_t aTokens);
  /** The mean, in which aPrior weighs as much as a few responses. */
  double Mean(const Lengths& aLengths, double aMaxTokens, double aPrior) const;

  std::map<std::string, Lengths, std::less<>> mClasses;
  std::map<std::pair<std::string, std::string>, Lengths> mWorkspaces;
  /** The length that each bin stands for. */
  std::vector<double> mCentres;
};

} // namespace trefoilarch
