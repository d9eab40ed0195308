#include "servicerate.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Weight of a new sample among the ones before. */
constexpr double kGain = 0.1;

/** Time constant over which the tiers' use is measured. */
constexpr double kFlowSpan = 3000;

/** Prompts of this many tokens and more cost time by their length. */
constexpr uint32_t kLongPrompt = 512;

/** Requests have waited without a break if they were seen to this often, and
 * for this long before the rate of starts is taken for the capacity. */
constexpr Millis kBlockedGap{ 300 };
constexpr Millis kBlockedSpan{ 1500 };

/** A time between tokens that is older says nothing of now. */
constexpr Millis kBetweenSpan{ 2000 };

/** The best time grows by this with each sample, until it is met again. */
constexpr double kForget = 1.01;

double
Blend(double aOld, double aSample)
{
  return aOld + (aSample - aOld) * kGain;
}

} // namespace

void
ServiceRate::Flow::Add(double aTokens, Millis aNow)
{
  mTokens = Rate(aNow) * kFlowSpan + aTokens;
  mAt = aNow;
}

double
ServiceRate::Flow::Rate(Millis aNow) const
{
  const auto age = static_cast<double>((aNow - mAt).Count());
  return mTokens * std::exp(-age / kFlowSpan) / kFlowSpan;
}

void
ServiceRate::OnFirstToken(uint32_t aPromptTokens, uint64_t aAhead, Millis aSpan)
{
  const auto span = static_cast<double>(aSpan.Count());
  if (aAhead >= kLongPrompt) {
    const double whole = span / static_cast<double>(aAhead);
    mBestSlope = mBestSlope > 0 ? std::min(whole, mBestSlope * kForget) : whole;
  }
  if (aPromptTokens >= kLongPrompt) {
    const double slope = std::max(0.0, span - mFirstTokenBase) / aPromptTokens;
    mFirstTokenSlope = Blend(mFirstTokenSlope, slope);
    return;
  }
  mFirstTokenBase = mFirstTokenSeen ? Blend(mFirstTokenBase, span) : span;
  mFirstTokenSeen = true;
}

void
ServiceRate::OnTokens(uint32_t aTokens, Millis aSpan, Millis aNow)
{
  if (aTokens == 0) {
    return;
  }
  const double sample = static_cast<double>(aSpan.Count()) / aTokens;
  mBetween = mBetween > 0 ? Blend(mBetween, sample) : sample;
  mBetweenAt = aNow;
}

double
ServiceRate::BetweenTokens(Millis aNow) const
{
  return aNow <= mBetweenAt + kBetweenSpan ? mBetween : 0;
}

void
ServiceRate::OnEnded(uint64_t aTokens, uint64_t aOutput, Millis aSpan)
{
  const auto tokens = static_cast<double>(std::max<uint64_t>(aTokens, 1));
  const auto span = static_cast<double>(std::max(aSpan, Millis(1)).Count());
  const double keep = 1 - kGain;
  mTokenTime = mTokenTime * keep + tokens * span;
  mTokens = mTokens * keep + tokens;
  mRequests = mRequests * keep + 1;
  mOutput = Blend(mOutput, static_cast<double>(aOutput));
}

void
ServiceRate::OnTurn(Tier aTier, bool aLate, uint64_t aTokens, Millis aNow)
{
  const Tier tier = std::min<Tier>(aTier, kTierCount - 1);
  mFlows[tier][aLate ? 1 : 0].Add(static_cast<double>(aTokens), aNow);
}

void
ServiceRate::OnBlocked(Millis aNow)
{
  if (aNow > mBlockedAt + kBlockedGap) {
    mBlockedSince = aNow;
  }
  mBlockedAt = aNow;
}

double
ServiceRate::Capacity(uint64_t aLimit, Millis aNow) const
{
  const bool blocked = aNow <= mBlockedAt + kBlockedGap &&
                       mBlockedAt >= mBlockedSince + kBlockedSpan;
  if (mTokenTime <= 0) {
    return 0;
  }
  if (!blocked) {
    return static_cast<double>(aLimit) * mTokens / mTokenTime;
  }
  double rate = 0;
  for (const auto& [onTime, late] : mFlows) {
    rate += onTime.Rate(aNow) + late.Rate(aNow);
  }
  return rate;
}

double
ServiceRate::Drain(Tier aTier, bool aLate, uint64_t aLimit, Millis aNow) const
{
  const Tier own = std::min<Tier>(aTier, kTierCount - 1);
  double left = Capacity(aLimit, aNow);
  for (Tier tier = 0; tier < own; ++tier) {
    left -= mFlows[tier][0].Rate(aNow) + mFlows[tier][1].Rate(aNow);
  }
  if (aLate) {
    left -= mFlows[own][0].Rate(aNow);
  }
  return std::max(left, 0.0);
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
ServiceRate::LeastTime(uint32_t aPromptTokens, uint32_t aOutputTokens) const
{
  const double output = mBetween * aOutputTokens / 2;
  return FirstTokenTime(aPromptTokens) + Millis(static_cast<int64_t>(output));
}

} // namespace trefoilarch
