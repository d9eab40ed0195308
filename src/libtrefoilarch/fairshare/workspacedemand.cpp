#include "workspacedemand.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr double kMillisPerSecond = 1000;

} // namespace

WorkspaceDemand::WorkspaceDemand(const WorkspaceDemandOptions& aOptions)
  : mDecayTime(aOptions.mDecayTime)
  , mHeardLifetime(aOptions.mHeardLifetime)
  , mMaxPeers(aOptions.mMaxPeers)
{
}

void
WorkspaceDemand::OnAsked(double aCostMs, Millis aNow)
{
  Decay(aNow);
  mSums.mDemand = std::max(mSums.mDemand + aCostMs, 0.0);
}

void
WorkspaceDemand::OnServed(double aCostMs, Millis aNow)
{
  Decay(aNow);
  mSums.mServed = std::max(mSums.mServed + aCostMs, 0.0);
}

void
WorkspaceDemand::LimitDemand(double aRate, Millis aNow)
{
  Decay(aNow);
  const double most =
    aRate * static_cast<double>(mDecayTime.Count()) / kMillisPerSecond;
  mSums.mDemand = std::min(mSums.mDemand, std::max(most, mSums.mServed));
}

void
WorkspaceDemand::OnHeard(uint32_t aPeer, const DemandRates& aRates, Millis aNow)
{
  const HeardRates heard{ .mPeer = aPeer, .mRates = aRates, .mAt = aNow };
  const auto known = std::find_if(
    mHeard.begin(), mHeard.end(), [aPeer](const HeardRates& aHeard) {
      return aHeard.mPeer == aPeer;
    });
  if (known != mHeard.end()) {
    *known = heard;
    return;
  }
  if (mHeard.size() >= mMaxPeers) {
    Expire(aNow);
  }
  if (mHeard.size() < mMaxPeers) {
    mHeard.push_back(heard);
  }
}

DemandRates
WorkspaceDemand::Own(Millis aNow) const
{
  const double perSecond = KeptSince(aNow) * kMillisPerSecond /
                           static_cast<double>(mDecayTime.Count());
  return { .mDemand = mSums.mDemand * perSecond,
           .mServed = mSums.mServed * perSecond };
}

DemandRates
WorkspaceDemand::Heard(Millis aNow) const
{
  DemandRates sum;
  for (const HeardRates& heard : mHeard) {
    if (!HasLapsed(heard, aNow)) {
      sum.mDemand += heard.mRates.mDemand;
      sum.mServed += heard.mRates.mServed;
    }
  }
  return sum;
}

bool
WorkspaceDemand::IsHeard(Millis aNow) const
{
  return std::any_of(
    mHeard.begin(), mHeard.end(), [this, aNow](const HeardRates& aHeard) {
      return !HasLapsed(aHeard, aNow);
    });
}

void
WorkspaceDemand::Expire(Millis aNow)
{
  std::erase_if(mHeard, [this, aNow](const HeardRates& aHeard) {
    return HasLapsed(aHeard, aNow);
  });
}

double
WorkspaceDemand::KeptSince(Millis aNow) const
{
  const Millis elapsed = std::max(aNow - mDecayedAt, Millis(0));
  return std::exp(-static_cast<double>(elapsed.Count()) /
                  static_cast<double>(mDecayTime.Count()));
}

void
WorkspaceDemand::Decay(Millis aNow)
{
  const double kept = KeptSince(aNow);
  mSums.mDemand *= kept;
  mSums.mServed *= kept;
  mDecayedAt = std::max(mDecayedAt, aNow);
}

bool
WorkspaceDemand::HasLapsed(const HeardRates& aHeard, Millis aNow) const
{
  return aNow - aHeard.mAt > mHeardLifetime;
}

} // namespace trefoilarch
