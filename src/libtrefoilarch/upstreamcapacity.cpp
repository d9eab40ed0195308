#include "upstreamcapacity.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoilarch {

namespace {

/** Room left for a burst, as a multiple of the root of the calls that run. */
constexpr double kBurst = 1;
/** A tier is present for so long after its last request came. */
constexpr Millis kPresence{ 10000 };

/** How far each tier may go, in hundredths of the limit on tokens. */
constexpr std::array<uint64_t, kTierCount> kTokenPercent = { 150,
                                                             120,
                                                             100,
                                                             100 };
constexpr uint64_t kWhole = 100;

/** Prompt tokens in prefill: to begin with, at least and at most. */
constexpr uint64_t kFirstPrefill = 4096;
constexpr uint64_t kLeastPrefill = 1024;
constexpr uint64_t kMostPrefill = 65536;

constexpr Millis kFirstPause{ 100 };
constexpr uint32_t kMostDoublings = 4;

} // namespace

UpstreamCapacity::UpstreamCapacity(UpstreamCapacityOptions aOptions)
  : mOptions(aOptions)
  , mTokenLimit({ .mInitial = aOptions.mInitialLimit,
                  .mMin = std::max<uint64_t>(aOptions.mMinLimit, 1),
                  .mMax = aOptions.mMaxLimit })
  , mPrefillLimit({ .mInitial = kFirstPrefill,
                    .mMin = kLeastPrefill,
                    .mMax = kMostPrefill })
{
}

UpstreamCapacity::Use&
UpstreamCapacity::Use::operator+=(const Use& aOther)
{
  mTokens += aOther.mTokens;
  mPrefill += aOther.mPrefill;
  mCalls += aOther.mCalls;
  return *this;
}

UpstreamCapacity::Use
UpstreamCapacity::UseFor(Tier aTier) const
{
  Use use;
  const size_t own = std::min<size_t>(aTier, kTierCount - 1);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    use += mWithin[tier];
    if (tier <= own) {
      use += mBeside[tier];
    }
  }
  return use;
}

UpstreamCapacity::Use&
UpstreamCapacity::UseOf(const CapacityShare& aShare)
{
  const size_t tier = std::min<size_t>(aShare.mTier, kTierCount - 1);
  return aShare.mBeside ? mBeside[tier] : mWithin[tier];
}

UpstreamCapacity::Use
UpstreamCapacity::LeftBy(Tier aTier) const
{
  Use higher;
  bool present = false;
  const size_t own = std::min<size_t>(aTier, kTierCount - 1);
  for (size_t tier = 0; tier < own; ++tier) {
    higher += mWithin[tier];
    present |= mSeen[tier] > Millis() && mNow <= mSeen[tier] + kPresence;
  }
  if (!present) {
    return {};
  }
  const double running =
    static_cast<double>(std::max<size_t>(higher.mCalls, 1));
  const double calls = kBurst * std::sqrt(running);
  const double tokens = calls * static_cast<double>(higher.mTokens) / running;
  return { .mTokens = static_cast<uint64_t>(tokens),
           .mPrefill = 0,
           .mCalls = static_cast<size_t>(std::lround(calls)) };
}

void
UpstreamCapacity::OnSeen(Tier aTier, Millis aNow)
{
  mNow = std::max(mNow, aNow);
  mSeen[std::min<size_t>(aTier, kTierCount - 1)] = aNow;
}

bool
UpstreamCapacity::Fits(const CapacityShare& aShare) const
{
  const Use use = UseFor(aShare.mTier);
  if (use.mCalls == 0) {
    return true;
  }
  if (mUnreached > 0 || LacksTokens(aShare) || LacksPrefill(aShare)) {
    return false;
  }
  return use.mCalls + LeftBy(aShare.mTier).mCalls < mOptions.mMaxRunning;
}

bool
UpstreamCapacity::LacksTokens(const CapacityShare& aShare) const
{
  const size_t tier = std::min<size_t>(aShare.mTier, kTierCount - 1);
  const uint64_t limit =
    std::min(Limit() * kTokenPercent[tier] / kWhole, mOptions.mMaxLimit);
  const uint64_t left = LeftBy(aShare.mTier).mTokens;
  return UseFor(aShare.mTier).mTokens + left + aShare.mTokens > limit;
}

bool
UpstreamCapacity::LacksPrefill(const CapacityShare& aShare) const
{
  const uint64_t used = UseFor(aShare.mTier).mPrefill;
  return used > 0 && used + aShare.mPrefill > PrefillLimit();
}

void
UpstreamCapacity::Take(const CapacityShare& aShare)
{
  Use& use = UseOf(aShare);
  use.mTokens += aShare.mTokens;
  use.mPrefill += aShare.mPrefill;
  ++use.mCalls;
}

void
UpstreamCapacity::Release(const CapacityShare& aShare)
{
  Use& use = UseOf(aShare);
  use.mTokens -= aShare.mTokens;
  use.mPrefill -= aShare.mPrefill;
  --use.mCalls;
}

void
UpstreamCapacity::OnBetweenTokens(double aRatio, double aWeight)
{
  mTokenLimit.OnMeasured(0, aRatio, aWeight);
}

void
UpstreamCapacity::OnFirstToken(double aRatio, bool aByPrefill)
{
  if (aRatio <= 1 || aByPrefill) {
    mPrefillLimit.OnMeasured(0, aRatio, 1);
  }
  if (aRatio <= 1 || !aByPrefill) {
    mTokenLimit.OnMeasured(1, aRatio, 1);
  }
}

void
UpstreamCapacity::OnWanted(const CapacityShare& aShare)
{
  if (LacksPrefill(aShare)) {
    mPrefillLimit.OnWanted();
  } else {
    mTokenLimit.OnWanted();
  }
}

void
UpstreamCapacity::Adapt(Millis aNow)
{
  mNow = std::max(mNow, aNow);
  const Use use = UseFor(kTierCount - 1);
  mTokenLimit.Adapt(use.mTokens, aNow);
  mPrefillLimit.Adapt(use.mPrefill, aNow);
}

void
UpstreamCapacity::OnUnreachable(Millis aNow)
{
  const uint32_t doublings = std::min(mUnreached, kMostDoublings);
  mPauseEnd = aNow + kFirstPause * (int64_t{ 1 } << doublings);
  ++mUnreached;
}

} // namespace trefoilarch
