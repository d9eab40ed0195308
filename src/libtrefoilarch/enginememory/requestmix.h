#pragma once

#include "../prompt.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * What the requests of this entry were like lately. The requests of other
 * entries are taken to be alike. Requests and queries take constant time.
 */
class RequestMix
{
public:
  /** A request with so many tokens without its shared segments has ended after
   * aTimeMs. */
  void OnEnded(int64_t aTokens, double aTimeMs);
  /** Samples at equal intervals what is in use: first each shared segment with
   * the number of its requests, then the tokens of all without them. */
  void OnSegmentInUse(const PromptSegment& aSegment, uint32_t aRequests);
  void OnSampled(int64_t aTokens);

  /** Mean size in tokens, in which each request counts as often as it has
   * tokens. */
  double MeanTokens() const;
  /** Mean time in ms, weighted alike. */
  double MeanTimeMs() const;
  /** Expected tokens of the distinct shared segments at an engine where
   * requests use aTokens without them, if requests are placed regardless of
   * their segments. */
  double SharedTokens(double aTokens) const;

private:
  /** Points per doubling of the tokens, up to 2^25. */
  static constexpr size_t kPointsPerDoubling = 2;
  static constexpr size_t kPoints = 25 * kPointsPerDoubling + 1;

  struct Segment
  {
    uint32_t mTokens = 0;
    /** Sum of its requests over the samples. */
    double mRequests = 0;
  };

  void FadeSamples();
  void Tabulate();

  /** Sums over ended requests: tokens, their squares, and tokens times ms. */
  double mTokens = 0;
  double mSquares = 0;
  double mTokenMs = 0;
  size_t mEnded = 0;
  /** Sum over the samples. */
  double mSampledTokens = 0;
  size_t mSamples = 0;
  std::unordered_map<uint64_t, Segment> mSegments;
  /** SharedTokens at powers of 2. */
  std::array<double, kPoints> mShared{};
};

} // namespace trefoilarch
