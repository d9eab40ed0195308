#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** The tokens that an answer will still have. */
struct RemainingOutput
{
  double mMean = 0;
  double mVariance = 0;
  /** Standard error of mMean, which all answers of the route have in common. */
  double mError = 0;
};

/**
 * How long the whole answers of each route were. Gives the distribution of an
 * answer's remaining length under the condition that it has come so far. Old
 * lengths fade. Updates and queries take constant time.
 */
class OutputLengths
{
public:
  void OnWhole(const std::string& aRoute, uint32_t aTokens);

  /** The remaining output of an answer with aSoFar tokens. aExpected is the
   * estimate of its whole length (0: none), used while few answers of that
   * length are known. */
  RemainingOutput Remaining(const std::string& aRoute,
                            uint32_t aExpected,
                            uint32_t aSoFar) const;

private:
  /** Bins per doubling of the length. */
  static constexpr size_t kBinsPerDoubling = 3;
  /** Up to 131,072 tokens; longer answers count as that long. */
  static constexpr size_t kBinCount = 17 * kBinsPerDoubling + 1;

  /** Moments of the lengths in a bin and all longer ones. */
  struct Moments
  {
    double mCount = 0;
    double mSum = 0;
    double mSquares = 0;
  };
  using Route = std::array<Moments, kBinCount>;

  static size_t BinOf(uint32_t aTokens);
  /** Of the answers that are longer than aTokens. */
  Moments Longer(const std::string& aRoute, uint32_t aTokens) const;

  std::unordered_map<std::string, Route> mRoutes;
};

} // namespace trefoilarch
