#pragma once

#include "millis.h"
#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <cstddef>
#include <vector>

namespace trefoilarch {

/** An upstream's crash and requests that broke with it at one entry. */
struct CrashReport
{
  UpstreamIncarnation mIncarnation;
  std::vector<RequestFingerprint> mSuspects;
  /** Since the crash. */
  Millis mAge;

  bool operator==(const CrashReport&) const = default;
};

/** A request of which something happened so long ago. */
struct AgedRequest
{
  RequestFingerprint mRequest;
  Millis mAge;

  bool operator==(const AgedRequest&) const = default;
};

/** A request in quarantine. */
struct QuarantineReport
{
  RequestFingerprint mRequest;
  /** Since the first of the crashes that speak against it. */
  Millis mSuspectFor;
  /** Since a caller last sent it. */
  Millis mIdleFor;

  bool operator==(const QuarantineReport&) const = default;
};

/** What entries tell each other of requests that may crash upstreams. Each
 * part may be lost, doubled or late. */
struct CrashUpdate
{
  std::vector<CrashReport> mReports;
  /** Got a whole answer, or were let go by an operator. */
  std::vector<AgedRequest> mCleared;
  /** Suspects that have just been sent to an upstream. */
  std::vector<RequestFingerprint> mKeepaliveProbes;
  std::vector<QuarantineReport> mQuarantined;

  bool IsEmpty() const
  {
    return mReports.empty() && mCleared.empty() && mKeepaliveProbes.empty() &&
           mQuarantined.empty();
  }
  /** Requests that are named in it, for its size as a message. */
  size_t Size() const
  {
    size_t size =
      mCleared.size() + mKeepaliveProbes.size() + mQuarantined.size();
    for (const CrashReport& each : mReports) {
      size += 2 + each.mSuspects.size();
    }
    return size;
  }

  bool operator==(const CrashUpdate&) const = default;
};

} // namespace trefoilarch
