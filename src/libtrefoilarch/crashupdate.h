#pragma once

#include "millis.h"
#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <cstddef>
#include <vector>

namespace trefoilarch {

/** An upstream's crash, and the requests and prompt segments that failed with
 * it at one entry. */
struct CrashReport
{
  UpstreamIncarnation mIncarnation;
  std::vector<RequestFingerprint> mSuspects;
  /** Time since the crash. */
  Millis mAge;

  bool operator==(const CrashReport&) const = default;
};

/** A request or prompt segment, and the time since an event concerning it. */
struct AgedRequest
{
  RequestFingerprint mRequest;
  Millis mAge;

  bool operator==(const AgedRequest&) const = default;
};

/** A quarantined request or prompt segment at an entry. */
struct QuarantineReport
{
  RequestFingerprint mRequest;
  /** Time since the first of the crashes that suffice. */
  Millis mSuspectFor;
  /** Time since a caller last sent it. */
  Millis mIdleFor;

  bool operator==(const QuarantineReport&) const = default;
};

/** Information that entries exchange about requests and prompt segments that
 * may crash upstreams. Messages may be lost, duplicated or delayed. */
struct CrashUpdate
{
  std::vector<CrashReport> mReports;
  /** What got a complete response or was released by an operator. */
  std::vector<AgedRequest> mCleared;
  /** Suspected requests, and quarantined segments, that were just sent to an
   * upstream. */
  std::vector<RequestFingerprint> mProbes;
  std::vector<QuarantineReport> mQuarantined;

  bool IsEmpty() const
  {
    return mReports.empty() && mCleared.empty() && mProbes.empty() &&
           mQuarantined.empty();
  }
  /** Number of fingerprints in the update, as a measure of the message size. */
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
