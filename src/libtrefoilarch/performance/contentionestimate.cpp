#include "contentionestimate.h"

#include "factorbounds.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Time constant by which a statement loses its weight against the mean. */
constexpr double kStatementMs = 300;

/** Time constant of the recent mean: long compared with the changes, short
 * compared with a move of load between hosts. */
constexpr double kMeanMs = 5000;

/** Weight of the usual contention, 1, in statements: without recent ones the
 * mean approaches it. */
constexpr double kUsualWeight = 0.25;

double
DecayOver(Millis aDuration, double aTimeConstantMs)
{
  const auto duration =
    static_cast<double>(std::max(aDuration, Millis(0)).Count());
  return std::exp(-duration / aTimeConstantMs);
}

} // namespace

void
ContentionEstimate::RecentMean::Add(double aFactor, Millis aAt)
{
  const double kept = Decay(aAt);
  mSum = mSum * kept + aFactor;
  mWeight = mWeight * kept + 1;
  mAt = std::max(mAt, aAt);
}

double
ContentionEstimate::RecentMean::Decay(Millis aNow) const
{
  return DecayOver(aNow - mAt, kMeanMs);
}

void
ContentionEstimate::AddOwn(double aFactor, Millis aAt)
{
  const double factor = BoundedFactor(aFactor);
  mOwn = StatedContention{ .mFactor = factor, .mAt = aAt };
  mOwnMean.Add(factor, aAt);
}

void
ContentionEstimate::AddHeard(double aFactor, Millis aAt)
{
  if (mHeard && aAt <= mHeard->mAt) {
    return;
  }
  if (mHeard && aAt - mHeard->mAt > kHeardLifetime) {
    mHeardMean = {};
  }
  const double factor = BoundedFactor(aFactor);
  mHeard = StatedContention{ .mFactor = factor, .mAt = aAt };
  mHeardMean.Add(factor, aAt);
}

std::optional<StatedContention>
ContentionEstimate::Heard(Millis aNow) const
{
  const bool expired = !mHeard || aNow - mHeard->mAt > kHeardLifetime;
  return expired ? std::nullopt : mHeard;
}

double
ContentionEstimate::Mean(Millis aNow) const
{
  const double own = mOwnMean.Decay(aNow);
  const double heard = Heard(aNow) ? mHeardMean.Decay(aNow) : 0;
  const double sum =
    kUsualWeight + mOwnMean.mSum * own + mHeardMean.mSum * heard;
  const double weight =
    kUsualWeight + mOwnMean.mWeight * own + mHeardMean.mWeight * heard;
  return sum / weight;
}

std::optional<StatedContention>
ContentionEstimate::Newest(Millis aNow) const
{
  const std::optional<StatedContention> heard = Heard(aNow);
  return mOwn && (!heard || heard->mAt <= mOwn->mAt) ? mOwn : heard;
}

double
ContentionEstimate::Factor(Millis aNow) const
{
  const std::optional<StatedContention> newest = Newest(aNow);
  const double mean = Mean(aNow);
  if (!newest) {
    return mean;
  }
  const double weight = DecayOver(aNow - newest->mAt, kStatementMs);
  return BoundedFactor(mean + weight * (newest->mFactor - mean));
}

double
ContentionEstimate::Certainty(Millis aNow) const
{
  const std::optional<StatedContention> newest = Newest(aNow);
  return newest ? DecayOver(aNow - newest->mAt, kStatementMs) : 0;
}

} // namespace trefoilarch
