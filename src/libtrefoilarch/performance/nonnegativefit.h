#pragma once

#include <array>
#include <cstddef>

namespace trefoilarch {

/**
 * Least squares fit of a value to a weighted sum of kFeatures quantities, with
 * coefficients that are not negative. It keeps sums of products only. The prior
 * counts as a few more samples, so that it decides while there are none, and
 * the sums can always be solved.
 */
template<size_t kFeatures>
class NonNegativeFit
{
public:
  using Values = std::array<double, kFeatures>;

  /** aPriorWeights: for each coefficient, the sum of squares of its quantity in
   * the samples that the prior counts as; must be positive. */
  NonNegativeFit(const Values& aPrior, const Values& aPriorWeights)
    : mPrior(aPrior)
    , mPriorWeights(aPriorWeights)
    , mCoefficients(aPrior)
  {
  }

  void Add(const Values& aQuantities, double aValue, double aWeight)
  {
    for (size_t row = 0; row < kFeatures; ++row) {
      const double weighted = aWeight * aQuantities[row];
      for (size_t column = 0; column < kFeatures; ++column) {
        mProducts[row][column] += weighted * aQuantities[column];
      }
      mWithValue[row] += weighted * aValue;
    }
    Solve();
  }

  /** Reduces the weight of all samples so far to that part. */
  void Decay(double aPart)
  {
    for (Values& row : mProducts) {
      Scale(row, aPart);
    }
    Scale(mWithValue, aPart);
  }

  double Value(const Values& aQuantities) const
  {
    double sum = 0;
    for (size_t each = 0; each < kFeatures; ++each) {
      sum += mCoefficients[each] * aQuantities[each];
    }
    return sum;
  }

private:
  /** Each sample changes the solution little, so that a few passes from the
   * last one follow it. */
  static constexpr int kPasses = 6;

  static void Scale(Values& aValues, double aPart)
  {
    for (double& each : aValues) {
      each *= aPart;
    }
  }

  /** Minimizes the error by one coefficient after the other, not below 0. */
  void Solve()
  {
    for (int pass = 0; pass < kPasses; ++pass) {
      for (size_t each = 0; each < kFeatures; ++each) {
        const double weight = mProducts[each][each] + mPriorWeights[each];
        const double others =
          Value(mProducts[each]) - mProducts[each][each] * mCoefficients[each];
        const double value =
          mWithValue[each] + mPriorWeights[each] * mPrior[each] - others;
        mCoefficients[each] = value > 0 ? value / weight : 0;
      }
    }
  }

  Values mPrior;
  Values mPriorWeights;
  Values mCoefficients;
  std::array<Values, kFeatures> mProducts{};
  Values mWithValue{};
};

} // namespace trefoilarch
