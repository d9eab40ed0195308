#pragma once

#include "permit.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace trefoilarch {

/** Options of a PermitIssuer; times in milliseconds. */
struct PermitIssuerOptions
{
  /** Minimum rate. An upstream with a limit of zero still gets requests at this
   * rate, since only its responses show that the limit has ended. */
  double mMinPerSecond = 0.25;
  /** Unused permits accumulate for this long, but at least two do. */
  Millis mBurstWindow{ 100 };
  /** After a more urgent request was denied, less urgent ones get no permit for
   * this long, or until there have been two. */
  Millis mReserveWindow{ 500 };
  /** A new entry issues nothing for this long: other entries may not know of it
   * yet and still ask the previous issuer. */
  Millis mJoinDelay{ 4000 };
};

/**
 * Issues permits to send to upstreams with a rate limit, from one token bucket
 * per upstream for all entries. PermitRequester decides which entry issues for
 * which upstream.
 */
class PermitIssuer
{
public:
  explicit PermitIssuer(PermitIssuerOptions aOptions = {});

  /** Delays issuing by mJoinDelay. Without this call, permits are issued at
   * once. */
  void Join(Millis aNow) { mIssuesFrom = aNow + mOptions.mJoinDelay; }

  /** aPerSecond is the upstream's limit. Returns nothing while no permits are
   * issued. */
  std::optional<PermitReply> OnRequest(const std::string& aFrom,
                                       const PermitRequest& aRequest,
                                       double aPerSecond,
                                       Millis aNow);
  void Forget(const UpstreamId& aUpstream) { mBuckets.erase(aUpstream); }

private:
  static constexpr size_t kUrgencies = 4;

  struct Bucket
  {
    double mTokens = 0;
    Millis mFilledAt;
    /** Lowest rank of recent requests, and when it was last seen. */
    uint32_t mRank = 0;
    Millis mRankAt;
    /** When a request of each urgency was last denied. */
    std::array<std::optional<Millis>, kUrgencies> mDeniedAt;
    /** When each entry last sent a request. */
    std::map<std::string, Millis> mRequesters;
  };

  Bucket& BucketFor(const PermitRequest& aRequest, Millis aNow);
  void Refill(Bucket& aBucket, double aPerSecond, Millis aNow) const;
  /** How long the next permit is reserved for more urgent requests. */
  Millis ReservedFor(const Bucket& aBucket,
                     size_t aUrgency,
                     double aPerSecond,
                     Millis aNow) const;
  static size_t RequesterCount(Bucket& aBucket, Millis aNow);

  PermitIssuerOptions mOptions;
  Millis mIssuesFrom;
  std::map<UpstreamId, Bucket> mBuckets;
};

} // namespace trefoilarch
