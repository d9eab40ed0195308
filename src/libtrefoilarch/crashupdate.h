#pragma once

#include "millis.h"
#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <cstddef>
#include <vector>

namespace trefoilarch {

/** An upstream's crash and the requests that failed with it at one entry. */
struct CrashReport
{
  UpstreamIncarnation mIncarnation;
  std::vector<RequestFingerprint> mSuspects;
  /** Time since the crash. */
  Millis mAge;

  bool operator==(const CrashReport&) const = default;
};

/** A request and the time since an event concerning it. */
struct AgedRequest
{
  RequestFingerprint mRequest;
  Millis mAge;

  bool operator==(const AgedRequest&) const = default;
};

/** A quarantined request at an entry. */
struct QuarantineReport
{
  RequestFingerprint mRequest;
  /** Time since the first of the crashes that suffice. */
  Millis mSuspectFor;
  /** Time since a caller last sent it. */
  Millis mIdleFor;

  bool operator==(const QuarantineReport&) const = default;
};

/** Information that entries exchange about requests that may crash upstreams.
 * Messages may be lost, duplicated or delayed. */
struct CrashUpdate
{
  std::vector<CrashReport> mReports;
  /** Requests that got a complete response or were released by an operator. */
  std::vector<AgedRequest> mCleared;
  /** Suspects that were just sent to an upstream. */
  std::vector<RequestFingerprint> mProbes;
  std::vector<QuarantineReport> mQuarantined;

  bool IsEmpty() const
  {
    return mReports.empty() && mCleared.empty() && mProbes.empty() &&
           mQuarantined.empty();
  }
  /** Number of requests in the update, as a measure of the message size. */
  size_t Size() const
  {
    size_t size = mCleared.size() + mProbes.size() + mQuarantined.size();
    for (const CrashReport& each : mReports) {
      size += 2 + each.mSuspects.size();
    }
    return size;
  }

  bool operator==(const CrashUpdate&) const = default;
};

} // namespace trefoilarch
