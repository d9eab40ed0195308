#pragma once

#include "permit.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** Options of a PermitRequester; times in milliseconds. */
struct PermitRequesterOptions
{
  /** Time after which no reply is expected. */
  Millis mReplyTimeout{ 40 };
  /** Time after which unused permits expire. */
  Millis mGrantLifetime{ 300 };
  /** Number of missing replies in a row after which an issuer is bypassed. */
  uint32_t mMaxUnanswered = 2;
  Millis mBypassDuration{ 2000 };
};

/** Permit state of a request to an upstream with a rate limit. */
enum class PermitState : uint8_t
{
  NotRequested,
  Requested,
  Granted,
  Denied,
};

/** A permit request and the entry that issues the upstream's permits. */
struct AddressedPermitRequest
{
  std::string mTo;
  PermitRequest mRequest;
};

/**
 * Requests permits to send to upstreams with a rate limit, with one request at
 * a time for each upstream. One entry issues the permits of an upstream. It is
 * found by rendezvous hashing over all entries' addresses. If it does not
 * reply, the next one issues them.
 */
class PermitRequester
{
public:
  explicit PermitRequester(PermitRequesterOptions aOptions = {});

  /** Sets all entries' addresses. Without others, it issues its own permits. */
  void SetEntries(std::string aOwn, std::vector<std::string> aOthers);
  const std::string& Own() const { return mOwn; }

  /** Also detects a request without a reply. */
  PermitState StateOf(const UpstreamId& aUpstream,
                      uint8_t aUrgency,
                      Millis aNow);
  /** A request was routed elsewhere because a permit request was pending.
   * The next permit request is for one more permit. */
  void CountMissed(const UpstreamId& aUpstream);
  /** Returns a request to be sent to the given entry, possibly this one. */
  AddressedPermitRequest MakeRequest(const LimitReport& aLimit,
                                     uint8_t aUrgency,
                                     Millis aNow);
  void OnReply(const PermitReply& aReply, Millis aNow);
  /** A request is sent using a granted permit. */
  void Use(const UpstreamId& aUpstream);
  void Forget(const UpstreamId& aUpstream) { mUpstreams.erase(aUpstream); }

  /** How long no permit needs to be requested for that urgency. */
  Millis WaitFor(const UpstreamId& aUpstream,
                 uint8_t aUrgency,
                 Millis aNow) const;
  /** Number of permits used since the limit became known. */
  uint64_t Used(const UpstreamId& aUpstream) const;

private:
  struct UpstreamPermits
  {
    uint64_t mNumber = 0;
    std::string mIssuer;
    PermitState mState = PermitState::NotRequested;
    Millis mRequestedAt;
    /** End of the validity of a grant, or of the delay after a denial. */
    Millis mUntil;
    uint8_t mFromUrgency = 0;
    /** Remaining permits. */
    uint32_t mRemaining = 0;
    uint32_t mMissedCount = 0;
    uint64_t mUsed = 0;
  };

  struct IssuerSilence
  {
    uint32_t mUnanswered = 0;
    Millis mBypassedUntil;
  };

  void RecordSilence(const std::string& aIssuer, Millis aNow);
  /** The entries in their order of preference as issuers for the upstream. */
  std::vector<std::string> IssuersOf(const UpstreamId& aUpstream) const;

  PermitRequesterOptions mOptions;
  std::string mOwn;
  std::vector<std::string> mOthers;
  std::map<UpstreamId, UpstreamPermits> mUpstreams;
  /** Issuers that did not reply. */
  std::map<std::string, IssuerSilence> mSilent;
  uint64_t mLastNumber = 0;
};

} // namespace trefoilarch
