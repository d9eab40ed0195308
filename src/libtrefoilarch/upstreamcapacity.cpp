#include "upstreamcapacity.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoilarch {

namespace {

/**
 * Capacity reserved for a burst, as a multiple of the square root of the
 * running calls.
 */
constexpr double kBurstFactor = 1;
/** How long a tier counts as present after its last request arrived. */
constexpr Millis kTierPresenceTimeout{ 10000 };

/** How much of the token limit each tier may use, in hundredths. */
constexpr std::array<uint64_t, kTierCount> kTokenPercent = { 150,
                                                             120,
                                                             100,
                                                             100 };
constexpr uint64_t kHundredPercent = 100;

/** Initial, minimum and maximum limit on prompt tokens in prefill. */
constexpr uint64_t kInitialPrefill = 4096;
constexpr uint64_t kMinPrefill = 1024;
constexpr uint64_t kMaxPrefill = 65536;

constexpr Millis kInitialPause{ 100 };
constexpr uint32_t kMaxDoublings = 4;

} // namespace

UpstreamCapacity::UpstreamCapacity(UpstreamCapacityOptions aOptions)
  : mOptions(aOptions)
  , mTokenLimit({ .mInitial = aOptions.mInitialLimit,
                  .mMin = std::max<uint64_t>(aOptions.mMinLimit, 1),
                  .mMax = aOptions.mMaxLimit })
  , mPrefillLimit(
      { .mInitial = kInitialPrefill, .mMin = kMinPrefill, .mMax = kMaxPrefill })
{
}

UpstreamCapacity::Usage&
UpstreamCapacity::Usage::operator+=(const Usage& aOther)
{
  mTokens += aOther.mTokens;
  mPrefill += aOther.mPrefill;
  mCalls += aOther.mCalls;
  return *this;
}

UpstreamCapacity::Usage
UpstreamCapacity::UsageFor(Tier aTier) const
{
  Usage usage;
  const size_t own = std::min<size_t>(aTier, kTierCount - 1);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    usage += mWithinLimit[tier];
    if (tier <= own) {
      usage += mOutsideLimit[tier];
    }
  }
  return usage;
}

UpstreamCapacity::Usage&
UpstreamCapacity::UsageOf(const CapacityShare& aShare)
{
  const size_t tier = std::min<size_t>(aShare.mTier, kTierCount - 1);
  return aShare.mOutsideLimit ? mOutsideLimit[tier] : mWithinLimit[tier];
}

UpstreamCapacity::Usage
UpstreamCapacity::BurstReserve(Tier aTier) const
{
  Usage higher;
  bool present = false;
  const size_t own = std::min<size_t>(aTier, kTierCount - 1);
  for (size_t tier = 0; tier < own; ++tier) {
    higher += mWithinLimit[tier];
    present |= mTierSeenAt[tier] > Millis() &&
               mNow <= mTierSeenAt[tier] + kTierPresenceTimeout;
  }
  if (!present) {
    return {};
  }
  const double running =
    static_cast<double>(std::max<size_t>(higher.mCalls, 1));
  const double calls = kBurstFactor * std::sqrt(running);
  const double tokens = calls * static_cast<double>(higher.mTokens) / running;
  return { .mTokens = static_cast<uint64_t>(tokens),
           .mPrefill = 0,
           .mCalls = static_cast<size_t>(std::lround(calls)) };
}

void
UpstreamCapacity::OnTierSeen(Tier aTier, Millis aNow)
{
  mNow = std::max(mNow, aNow);
  mTierSeenAt[std::min<size_t>(aTier, kTierCount - 1)] = aNow;
}

bool
UpstreamCapacity::Fits(const CapacityShare& aShare) const
{
  const Usage usage = UsageFor(aShare.mTier);
  if (usage.mCalls == 0) {
    return true;
  }
  if (mFailedConnects > 0 || ExceedsTokens(aShare) || ExceedsPrefill(aShare)) {
    return false;
  }
  return usage.mCalls + BurstReserve(aShare.mTier).mCalls <
         mOptions.mMaxRunning;
}

bool
UpstreamCapacity::ExceedsTokens(const CapacityShare& aShare) const
{
  const size_t tier = std::min<size_t>(aShare.mTier, kTierCount - 1);
  const uint64_t limit = std::min(
    Limit() * kTokenPercent[tier] / kHundredPercent, mOptions.mMaxLimit);
  const uint64_t reserve = BurstReserve(aShare.mTier).mTokens;
  return UsageFor(aShare.mTier).mTokens + reserve + aShare.mTokens > limit;
}

bool
UpstreamCapacity::ExceedsPrefill(const CapacityShare& aShare) const
{
  const uint64_t used = UsageFor(aShare.mTier).mPrefill;
  return used > 0 && used + aShare.mPrefill > PrefillLimit();
}

void
UpstreamCapacity::Take(const CapacityShare& aShare)
{
  Usage& usage = UsageOf(aShare);
  usage.mTokens += aShare.mTokens;
  usage.mPrefill += aShare.mPrefill;
  ++usage.mCalls;
}

void
UpstreamCapacity::Release(const CapacityShare& aShare)
{
  Usage& usage = UsageOf(aShare);
  usage.mTokens -= aShare.mTokens;
  usage.mPrefill -= aShare.mPrefill;
  --usage.mCalls;
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
UpstreamCapacity::OnLimited(const CapacityShare& aShare)
{
  if (ExceedsPrefill(aShare)) {
    mPrefillLimit.OnLimited();
  } else {
    mTokenLimit.OnLimited();
  }
}

void
UpstreamCapacity::Adapt(Millis aNow)
{
  mNow = std::max(mNow, aNow);
  const Usage usage = UsageFor(kTierCount - 1);
  mTokenLimit.Adapt(usage.mTokens, aNow);
  mPrefillLimit.Adapt(usage.mPrefill, aNow);
}

void
UpstreamCapacity::OnUnreachable(Millis aNow)
{
  const uint32_t doublings = std::min(mFailedConnects, kMaxDoublings);
  mPauseEnd = aNow + kInitialPause * (int64_t{ 1 } << doublings);
  ++mFailedConnects;
}

} // namespace trefoilarch
