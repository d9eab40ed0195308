#include "permitissuer.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr double kSecondMs = 1000;

/** Entries with a request within this time compete for the next permit. */
constexpr Millis kRequesterWindow{ 2000 };

/** Entries that may compete for a permit; others must retry later. */
constexpr size_t kRequestersPerPermit = 4;

constexpr Millis kMaxWait{ 4000 };

/** Minimum number of permits that accumulate while there are no requests. */
constexpr double kMinBurst = 2;

/** An issuer that some entries can't reach continues to issue to the others,
 * beside the one that replaces it. The shares of all ranks together exceed the
 * limit by at most half of it. */
double
ShareOfRank(uint32_t aRank)
{
  return aRank == 0 ? 1 : std::ldexp(1.0, -static_cast<int>(aRank) - 1);
}

} // namespace

PermitIssuer::PermitIssuer(PermitIssuerOptions aOptions)
  : mOptions(aOptions)
{
}

std::optional<PermitReply>
PermitIssuer::OnRequest(const std::string& aFrom,
                        const PermitRequest& aRequest,
                        double aPerSecond,
                        Millis aNow)
{
  if (aNow < mIssuesFrom) {
    return std::nullopt;
  }
  Bucket& bucket = BucketFor(aRequest, aNow);
  bucket.mRequesters[aFrom] = aNow;
  const double rate =
    std::max(aPerSecond, mOptions.mMinPerSecond) * ShareOfRank(bucket.mRank);
  Refill(bucket, rate, aNow);
  const size_t urgency = std::min<size_t>(aRequest.mUrgency, kUrgencies - 1);
  const Millis reserved = ReservedFor(bucket, urgency, rate, aNow);
  if (reserved > Millis(0)) {
    return PermitReply{ .mNumber = aRequest.mNumber,
                        .mWait = reserved,
                        .mFromUrgency = aRequest.mUrgency };
  }
  if (bucket.mTokens >= 1) {
    const auto granted = static_cast<uint32_t>(std::min(
      std::floor(bucket.mTokens), std::max<double>(1, aRequest.mCount)));
    bucket.mTokens -= granted;
    bucket.mDeniedAt[urgency].reset();
    return PermitReply{ .mNumber = aRequest.mNumber, .mGranted = granted };
  }
  bucket.mDeniedAt[urgency] = aNow;
  const double contention = std::max(
    1.0,
    static_cast<double>(RequesterCount(bucket, aNow)) / kRequestersPerPermit);
  const double wait = (1 - bucket.mTokens) / rate * kSecondMs * contention;
  return PermitReply{ .mNumber = aRequest.mNumber,
                      .mWait = std::min(Millis(static_cast<int64_t>(wait) + 1),
                                        kMaxWait) };
}

PermitIssuer::Bucket&
PermitIssuer::BucketFor(const PermitRequest& aRequest, Millis aNow)
{
  const auto [place, inserted] =
    mBuckets.try_emplace(aRequest.mLimit.mUpstream);
  Bucket& bucket = place->second;
  if (inserted) {
    bucket.mFilledAt = aNow;
  }
  const bool expired = aNow - bucket.mRankAt > kRequesterWindow;
  if (inserted || expired || aRequest.mRank <= bucket.mRank) {
    bucket.mRank = aRequest.mRank;
    bucket.mRankAt = aNow;
  }
  return bucket;
}

void
PermitIssuer::Refill(Bucket& aBucket, double aPerSecond, Millis aNow) const
{
  const double perMs = aPerSecond / kSecondMs;
  const double maxTokens = std::max(
    kMinBurst, perMs * static_cast<double>(mOptions.mBurstWindow.Count()));
  const auto elapsedMs =
    static_cast<double>((aNow - aBucket.mFilledAt).Count());
  aBucket.mTokens = std::min(maxTokens, aBucket.mTokens + elapsedMs * perMs);
  aBucket.mFilledAt = aNow;
}

Millis
PermitIssuer::ReservedFor(const Bucket& aBucket,
                          size_t aUrgency,
                          double aPerSecond,
                          Millis aNow) const
{
  const Millis window =
    std::min(mOptions.mReserveWindow,
             Millis(static_cast<int64_t>(kMinBurst / aPerSecond * kSecondMs)));
  Millis reserved;
  for (size_t each = 0; each < aUrgency; ++each) {
    if (const auto denied = aBucket.mDeniedAt[each]) {
      reserved = std::max(reserved, *denied + window - aNow);
    }
  }
  return reserved;
}

size_t
PermitIssuer::RequesterCount(Bucket& aBucket, Millis aNow)
{
  std::erase_if(aBucket.mRequesters, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kRequesterWindow;
  });
  return aBucket.mRequesters.size();
}

} // namespace trefoilarch
