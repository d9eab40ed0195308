#pragma once

#include "permit.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace trefoilarch {

/** How a PermitIssuer issues; times in milliseconds. */
struct PermitIssuerOptions
{
  /** An upstream with a limit of nothing gets this many requests a second all
   * the same: its answers alone can tell that the limit has ended. */
  double mMinPerSecond = 0.25;
  /** Unused permits are saved up for so long, and two at the least. */
  Millis mBurstWindow{ 100 };
  /** Less urgent requests get no permit for so long after a more urgent one
   * got none, or until there have been two. */
  Millis mReserveWindow{ 500 };
  /** An entry that has just started issues nothing for so long: others may not
   * know of it yet, and ask who was there before. */
  Millis mJoinDelay{ 4000 };
};

/**
 * Issues permits to send to upstreams that name a rate limit: a token bucket
 * for each upstream, for all entries together. Which entry issues for which
 * upstream, PermitRequester decides.
 */
class PermitIssuer
{
public:
  explicit PermitIssuer(PermitIssuerOptions aOptions = {});

  /** Permits are issued from then on; at once, without this. */
  void Join(Millis aNow) { mIssuesFrom = aNow + mOptions.mJoinDelay; }

  /** aPerSecond is the upstream's limit. Empty while nothing is issued. */
  std::optional<PermitReply> OnRequest(const std::string& aFrom,
                                       const PermitRequest& aAsk,
                                       double aPerSecond,
                                       Millis aNow);
  void Forget(const UpstreamId& aUpstream) { mBuckets.erase(aUpstream); }

private:
  static constexpr size_t kUrgencies = 4;

  struct Bucket
  {
    double mTokens = 0;
    Millis mFilledAt;
    /** The least rank by which it was asked lately, and when. */
    uint32_t mRank = 0;
    Millis mRankAt;
    /** When a request of that urgency got nothing. */
    std::array<std::optional<Millis>, kUrgencies> mDeniedAt;
    /** When each entry asked last. */
    std::map<std::string, Millis> mAskers;
  };

  Bucket& BucketFor(const PermitRequest& aAsk, Millis aNow);
  void Fill(Bucket& aBucket, double aPerSecond, Millis aNow) const;
  /** How long the next permit is kept for more urgent requests. */
  Millis ReservedFor(const Bucket& aBucket,
                     size_t aUrgency,
                     double aPerSecond,
                     Millis aNow) const;
  static size_t Askers(Bucket& aBucket, Millis aNow);

  PermitIssuerOptions mOptions;
  Millis mIssuesFrom;
  std::map<UpstreamId, Bucket> mBuckets;
};

} // namespace trefoilarch
