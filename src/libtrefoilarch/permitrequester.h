#pragma once

#include "permit.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** How a PermitRequester asks; times in milliseconds. */
struct PermitRequesterOptions
{
  /** Without an answer for this long there will be none. */
  Millis mReplyTimeout{ 40 };
  /** What was granted and not used is void after this. */
  Millis mGrantLifetime{ 300 };
  /** An issuer that gave no answer so often in a row is passed over. */
  uint32_t mMaxUnanswered = 2;
  Millis mBypassDuration{ 2000 };
};

/** Where a request stands that wants to go to an upstream with a limit. */
enum class PermitState : uint8_t
{
  NotRequested,
  Requested,
  Granted,
  Denied,
};

/** An ask, and the entry that issues that upstream's permits. */
struct AddressedPermitRequest
{
  std::string mTo;
  PermitRequest mRequest;
};

/**
 * Asks for permits to send to upstreams that name a rate limit, with one ask at
 * a time for each upstream. Each upstream's permits are issued by one entry,
 * found by rendezvous hashing over all entries' addresses; where that one gives
 * no answer, by the next one.
 */
class PermitRequester
{
public:
  explicit PermitRequester(PermitRequesterOptions aOptions = {});

  /** Addresses of this entry and the others; alone, it needs none. */
  void SetEntries(std::string aOwn, std::vector<std::string> aOthers);
  const std::string& Own() const { return mOwn; }

  /** Notes an ask that was not answered. */
  PermitState StateOf(const UpstreamId& aUpstream,
                      uint8_t aUrgency,
                      Millis aNow);
  /** A request that wants to go there goes elsewhere, as an ask is under way:
   * the next ask is for one more. */
  void NoteMissed(const UpstreamId& aUpstream);
  /** To be sent to that entry, which may be this one. */
  AddressedPermitRequest MakeRequest(const LimitReport& aLimit,
                                     uint8_t aUrgency,
                                     Millis aNow);
  void OnReply(const PermitReply& aReply, Millis aNow);
  /** A request goes out by what was granted. */
  void Use(const UpstreamId& aUpstream);
  void Forget(const UpstreamId& aUpstream) { mWanted.erase(aUpstream); }

  /** How long a request of that urgency need not ask. */
  Millis WaitFor(const UpstreamId& aUpstream,
                 uint8_t aUrgency,
                 Millis aNow) const;
  /** Permits that were used since the limit was known. */
  uint64_t Used(const UpstreamId& aUpstream) const;

private:
  struct Wanted
  {
    uint64_t mNumber = 0;
    std::string mIssuer;
    PermitState mState = PermitState::NotRequested;
    Millis mAskedAt;
    /** Of a grant: until when it holds; of a denial: until when not to ask. */
    Millis mUntil;
    uint8_t mFromUrgency = 0;
    /** Permits that are left. */
    uint32_t mLeft = 0;
    uint32_t mMissed = 0;
    uint64_t mUsed = 0;
  };

  struct Silence
  {
    uint32_t mUnanswered = 0;
    Millis mPassedOverUntil;
  };

  void NoteSilence(const std::string& aIssuer, Millis aNow);
  /** The entries in the order in which they issue for the upstream. */
  std::vector<std::string> IssuersOf(const UpstreamId& aUpstream) const;

  PermitRequesterOptions mOptions;
  std::string mOwn;
  std::vector<std::string> mOthers;
  std::map<UpstreamId, Wanted> mWanted;
  /** Issuers that gave no answer. */
  std::map<std::string, Silence> mSilent;
  uint64_t mAsks = 0;
};

} // namespace trefoilarch
