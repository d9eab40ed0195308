#include "permitissuer.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

constexpr double kSecondMs = 1000;

/** Asks within this count as one rush for the next permit. */
constexpr Millis kAskerSpan{ 2000 };

/** So many entries may rush for a permit; more are told to come later. */
constexpr size_t kAskersPerPermit = 4;

constexpr Millis kLongestWait{ 4000 };

/** Permits that are saved up while nobody asks, at the least. */
constexpr double kLeastBurst = 2;

/** An entry that some can't reach goes on issuing to the others, beside the
 * one that is asked in its place: the parts of all ranks together are no more
 * than half of the limit beyond it. */
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
                        const PermitRequest& aAsk,
                        double aPerSecond,
                        Millis aNow)
{
  if (aNow < mIssuesFrom) {
    return std::nullopt;
  }
  Bucket& bucket = BucketFor(aAsk, aNow);
  bucket.mAskers[aFrom] = aNow;
  const double rate =
    std::max(aPerSecond, mOptions.mMinPerSecond) * ShareOfRank(bucket.mRank);
  Fill(bucket, rate, aNow);
  const size_t urgency = std::min<size_t>(aAsk.mUrgency, kUrgencies - 1);
  const Millis reserved = ReservedFor(bucket, urgency, rate, aNow);
  if (reserved > Millis(0)) {
    return PermitReply{ .mNumber = aAsk.mNumber,
                        .mWait = reserved,
                        .mFromUrgency = aAsk.mUrgency };
  }
  if (bucket.mTokens >= 1) {
    const auto granted = static_cast<uint32_t>(
      std::min(std::floor(bucket.mTokens), std::max<double>(1, aAsk.mCount)));
    bucket.mTokens -= granted;
    bucket.mDeniedAt[urgency].reset();
    return PermitReply{ .mNumber = aAsk.mNumber, .mGranted = granted };
  }
  bucket.mDeniedAt[urgency] = aNow;
  const double rush =
    std::max(1.0, static_cast<double>(Askers(bucket, aNow)) / kAskersPerPermit);
  const double wait = (1 - bucket.mTokens) / rate * kSecondMs * rush;
  return PermitReply{ .mNumber = aAsk.mNumber,
                      .mWait = std::min(Millis(static_cast<int64_t>(wait) + 1),
                                        kLongestWait) };
}

PermitIssuer::Bucket&
PermitIssuer::BucketFor(const PermitRequest& aAsk, Millis aNow)
{
  const auto [place, fresh] = mBuckets.try_emplace(aAsk.mLimit.mUpstream);
  Bucket& bucket = place->second;
  if (fresh) {
    bucket.mFilledAt = aNow;
  }
  const bool lapsed = aNow - bucket.mRankAt > kAskerSpan;
  if (fresh || lapsed || aAsk.mRank <= bucket.mRank) {
    bucket.mRank = aAsk.mRank;
    bucket.mRankAt = aNow;
  }
  return bucket;
}

void
PermitIssuer::Fill(Bucket& aBucket, double aPerSecond, Millis aNow) const
{
  const double perMs = aPerSecond / kSecondMs;
  const double most = std::max(
    kLeastBurst, perMs * static_cast<double>(mOptions.mBurstWindow.Count()));
  const auto span = static_cast<double>((aNow - aBucket.mFilledAt).Count());
  aBucket.mTokens = std::min(most, aBucket.mTokens + span * perMs);
  aBucket.mFilledAt = aNow;
}

Millis
PermitIssuer::ReservedFor(const Bucket& aBucket,
                          size_t aUrgency,
                          double aPerSecond,
                          Millis aNow) const
{
  const Millis span = std::min(
    mOptions.mReserveWindow,
    Millis(static_cast<int64_t>(kLeastBurst / aPerSecond * kSecondMs)));
  Millis reserved;
  for (size_t each = 0; each < aUrgency; ++each) {
    if (const auto denied = aBucket.mDeniedAt[each]) {
      reserved = std::max(reserved, *denied + span - aNow);
    }
  }
  return reserved;
}

size_t
PermitIssuer::Askers(Bucket& aBucket, Millis aNow)
{
  std::erase_if(aBucket.mAskers, [aNow](const auto& aAsker) {
    return aNow - aAsker.second > kAskerSpan;
  });
  return aBucket.mAskers.size();
}

} // namespace trefoilarch
