#pragma once

#include "millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilarch {

/** How long a holder may be gone before a release that knows no eras takes its
 * duty over. */
constexpr Millis kOlderReleaseLockout{ 40000 };

/** A host that held a duty, and the store time at which its lease ended. */
struct PastHolder
{
  std::string mHost;
  Millis mUntil;

  bool operator==(const PastHolder&) const = default;
};

/**
 * The row that records who holds a duty and how far it is done. All its fields
 * change together, by writes that are conditional on the row's version.
 */
struct DutyRecord
{
  /** The holding process; empty if it has released the duty. */
  std::string mHolder;
  std::string mHost;
  /** Rises with each new holder. */
  uint64_t mFencingToken = 0;
  /** The store time at which the lease ends. */
  Millis mExpiresAt;
  /** By subject: the last period whose report is fixed. */
  std::map<std::string, uint64_t> mFixed;
  /** Unix time less store time, as the fleet has agreed. */
  Millis mUnixOffset;
  /** Earlier holders, the oldest first. */
  std::vector<PastHolder> mPastHolders;
  /** The store's era, as the writer knew it. A record of an earlier era comes
   * from a copy, or from a release that knew no eras. */
  uint64_t mEra = 0;
  /** The store time at which a holder first found the store in that era. */
  Millis mEraSince;

  bool operator==(const DutyRecord&) const = default;
};

/** A fixed report as stored: its bytes never change. */
struct StoredReport
{
  std::string mBody;
  /** The store time after which it is no longer sent. */
  Millis mExpiresAt;

  bool operator==(const StoredReport&) const = default;
};

/**
 * A record of an era after 0 keeps releases that know no eras from taking the
 * duty over with a lower token: to them its lease ends kOlderReleaseLockout
 * later.
 */
std::string
DutyRecordToText(const DutyRecord& aRecord);

/** Empty if the text is not a valid record. */
std::optional<DutyRecord>
DutyRecordFromText(const std::string& aText);

std::string
StoredReportToText(const StoredReport& aReport);

/** Empty if the text is not a valid report. */
std::optional<StoredReport>
StoredReportFromText(const std::string& aText);

} // namespace trefoilarch
