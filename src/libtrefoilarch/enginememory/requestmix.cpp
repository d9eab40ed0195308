#include "requestmix.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Of a request while none has ended: tokens, and time in ms. */
constexpr double kDefaultTokens = 1000;
constexpr double kDefaultTimeMs = 2000;

/** After so many requests or samples the weight of earlier ones is halved. */
constexpr size_t kFadeRequests = 500;
constexpr size_t kFadeSamples = 100;

/** Beyond these, new segments are ignored until others have faded. */
constexpr size_t kMaxSegments = 500;

/** A segment with less weight, in requests, is dropped. */
constexpr double kMinRequests = 0.1;

} // namespace

void
RequestMix::OnEnded(int64_t aTokens, double aTimeMs)
{
  const auto tokens = static_cast<double>(std::max<int64_t>(1, aTokens));
  mTokens += tokens;
  mSquares += tokens * tokens;
  mTokenMs += tokens * std::max(1.0, aTimeMs);
  if (++mEnded >= kFadeRequests) {
    mEnded = 0;
    mTokens /= 2;
    mSquares /= 2;
    mTokenMs /= 2;
  }
}

void
RequestMix::OnSegmentInUse(const PromptSegment& aSegment, uint32_t aRequests)
{
  if (mSegments.size() >= kMaxSegments && !mSegments.contains(aSegment.mId)) {
    return;
  }
  Segment& segment = mSegments[aSegment.mId];
  segment.mTokens = aSegment.mTokens;
  segment.mRequests += aRequests;
}

void
RequestMix::OnSampled(int64_t aTokens)
{
  mSampledTokens += static_cast<double>(std::max<int64_t>(0, aTokens));
  if (++mSamples >= kFadeSamples) {
    FadeSamples();
  }
  Tabulate();
}

void
RequestMix::FadeSamples()
{
  mSamples = 0;
  mSampledTokens /= 2;
  for (auto& [id, segment] : mSegments) {
    segment.mRequests /= 2;
  }
  std::erase_if(mSegments, [](const auto& aEntry) {
    return aEntry.second.mRequests < kMinRequests;
  });
}

void
RequestMix::Tabulate()
{
  mShared.fill(0);
  if (mSampledTokens <= 0) {
    return;
  }
  for (size_t point = 0; point < kPoints; ++point) {
    const double tokens =
      std::exp2(static_cast<double>(point) / kPointsPerDoubling);
    for (const auto& [id, segment] : mSegments) {
      // The number of its requests varies like a Poisson variable.
      const double requests = tokens * segment.mRequests / mSampledTokens;
      mShared[point] += segment.mTokens * -std::expm1(-requests);
    }
  }
}

double
RequestMix::MeanTokens() const
{
  return mTokens > 0 ? mSquares / mTokens : kDefaultTokens;
}

double
RequestMix::MeanTimeMs() const
{
  return mTokens > 0 ? mTokenMs / mTokens : kDefaultTimeMs;
}

double
RequestMix::SharedTokens(double aTokens) const
{
  if (!(aTokens > 1)) {
    return 0;
  }
  const double position = std::min(std::log2(aTokens) * kPointsPerDoubling,
                                   static_cast<double>(kPoints - 1));
  const auto below = std::min(static_cast<size_t>(position), kPoints - 2);
  const double share = position - static_cast<double>(below);
  return mShared[below] + share * (mShared[below + 1] - mShared[below]);
}

} // namespace trefoilarch
