#include "servicerate.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Weight of a new sample in a running mean. */
constexpr double kSampleWeight = 0.1;

/** Time constant of the tiers' rates in milliseconds. */
constexpr double kRateTimeConstant = 3000;

/** From this many tokens on, a prompt's length determines its time. */
constexpr uint32_t kLongPrompt = 512;

/**
 * Waiting is continuous if blocked requests are seen at least this often. It
 * must have lasted for kMinBlockedDuration before the rate of starts is taken
 * as the capacity.
 */
constexpr Millis kMaxBlockedGap{ 300 };
constexpr Millis kMinBlockedDuration{ 1500 };

/** An older time between tokens is not used any more. */
constexpr Millis kBetweenTokensMaxAge{ 2000 };

/** Growth of the best slope per sample, until it is reached again. */
constexpr double kBestSlopeGrowth = 1.01;

double
Blend(double aOld, double aSample)
{
  return aOld + (aSample - aOld) * kSampleWeight;
}

} // namespace

void
ServiceRate::DecayingRate::Add(double aTokens, Millis aNow)
{
  mTokens = Rate(aNow) * kRateTimeConstant + aTokens;
  mUpdatedAt = aNow;
}

double
ServiceRate::DecayingRate::Rate(Millis aNow) const
{
  const auto age = static_cast<double>((aNow - mUpdatedAt).Count());
  return mTokens * std::exp(-age / kRateTimeConstant) / kRateTimeConstant;
}

void
ServiceRate::OnFirstToken(uint32_t aPromptTokens,
                          uint64_t aPrefillTokens,
                          Millis aDuration)
{
  const auto duration = static_cast<double>(aDuration.Count());
  if (aPrefillTokens >= kLongPrompt) {
    const double slopeOfAll = duration / static_cast<double>(aPrefillTokens);
    mBestSlope = mBestSlope > 0
                   ? std::min(slopeOfAll, mBestSlope * kBestSlopeGrowth)
                   : slopeOfAll;
  }
  if (aPromptTokens >= kLongPrompt) {
    const double slope =
      std::max(0.0, duration - mFirstTokenBase) / aPromptTokens;
    mFirstTokenSlope = Blend(mFirstTokenSlope, slope);
    return;
  }
  mFirstTokenBase =
    mFirstTokenSeen ? Blend(mFirstTokenBase, duration) : duration;
  mFirstTokenSeen = true;
}

void
ServiceRate::OnTokens(uint32_t aTokens, Millis aDuration, Millis aNow)
{
  if (aTokens == 0) {
    return;
  }
  const double sample = static_cast<double>(aDuration.Count()) / aTokens;
  mBetweenTokens = mBetweenTokens > 0 ? Blend(mBetweenTokens, sample) : sample;
  mBetweenTokensAt = aNow;
}

double
ServiceRate::BetweenTokens(Millis aNow) const
{
  return aNow <= mBetweenTokensAt + kBetweenTokensMaxAge ? mBetweenTokens : 0;
}

void
ServiceRate::OnEnded(uint64_t aTokens, uint64_t aOutput, Millis aDuration)
{
  const auto tokens = static_cast<double>(std::max<uint64_t>(aTokens, 1));
  const auto duration =
    static_cast<double>(std::max(aDuration, Millis(1)).Count());
  const double decay = 1 - kSampleWeight;
  mTokenTime = mTokenTime * decay + tokens * duration;
  mTokens = mTokens * decay + tokens;
  mRequests = mRequests * decay + 1;
  mMeanOutput = Blend(mMeanOutput, static_cast<double>(aOutput));
}

void
ServiceRate::OnDispatched(Tier aTier, bool aLate, uint64_t aTokens, Millis aNow)
{
  const Tier tier = std::min<Tier>(aTier, kTierCount - 1);
  mTierRates[tier][aLate ? 1 : 0].Add(static_cast<double>(aTokens), aNow);
}

void
ServiceRate::OnBlocked(Millis aNow)
{
  if (aNow > mBlockedAt + kMaxBlockedGap) {
    mBlockedSince = aNow;
  }
  mBlockedAt = aNow;
}

double
ServiceRate::Capacity(uint64_t aLimit, Millis aNow) const
{
  const bool blocked = aNow <= mBlockedAt + kMaxBlockedGap &&
                       mBlockedAt >= mBlockedSince + kMinBlockedDuration;
  if (mTokenTime <= 0) {
    return 0;
  }
  if (!blocked) {
    return static_cast<double>(aLimit) * mTokens / mTokenTime;
  }
  double rate = 0;
  for (const auto& [onTime, late] : mTierRates) {
    rate += onTime.Rate(aNow) + late.Rate(aNow);
  }
  return rate;
}

double
ServiceRate::DrainRate(Tier aTier,
                       bool aLate,
                       uint64_t aLimit,
                       Millis aNow) const
{
  const Tier own = std::min<Tier>(aTier, kTierCount - 1);
  double rate = Capacity(aLimit, aNow);
  for (Tier tier = 0; tier < own; ++tier) {
    rate -= mTierRates[tier][0].Rate(aNow) + mTierRates[tier][1].Rate(aNow);
  }
  if (aLate) {
    rate -= mTierRates[own][0].Rate(aNow);
  }
  return std::max(rate, 0.0);
}

double
ServiceRate::MeanTokens() const
{
  return mRequests > 0 ? mTokens / mRequests : 0;
}

Millis
ServiceRate::FirstTokenTime(uint32_t aPromptTokens) const
{
  const double extra = mFirstTokenSlope * aPromptTokens;
  return Millis(static_cast<int64_t>(mFirstTokenBase + extra));
}

Millis
ServiceRate::BestPrefillTime(uint64_t aTokens) const
{
  return Millis(std::llround(mBestSlope * static_cast<double>(aTokens)));
}

Millis
ServiceRate::MinDuration(uint32_t aPromptTokens, uint32_t aOutputTokens) const
{
  const double output = mBetweenTokens * aOutputTokens / 2;
  return FirstTokenTime(aPromptTokens) + Millis(static_cast<int64_t>(output));
}

} // namespace trefoilarch
