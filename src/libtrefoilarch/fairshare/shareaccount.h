#pragma once

#include "../millis.h"
#include "workspacedemand.h"

#include <cstddef>
#include <cstdint>

namespace trefoilarch {

/** How many entries the fleet has, and of how many the demand is known. */
struct FleetSize
{
  size_t mAll = 1;
  /** Other entries whose reports have arrived within their lifetime. */
  size_t mHeard = 0;

  /** Factor from the demand at the entries that were heard to that at all
   * others: those not heard count as their mean. */
  double HeardScale() const
  {
    return mHeard == 0
             ? 0
             : static_cast<double>(mAll - 1) / static_cast<double>(mHeard);
  }
  /** An entry that hears nobody takes all entries to be like itself. */
  double OwnScale() const
  {
    return mHeard == 0 ? static_cast<double>(mAll) : 1;
  }

  bool operator==(const FleetSize&) const = default;
};

/** One workspace's demand and admissions, of one service and tier. */
struct ShareAccount
{
  WorkspaceDemand mDemand;
  double mWeight = 1;

  /** As of the last refresh: at all entries, as far as known. */
  DemandRates mFleet;
  /** The fleet's demand without that of this entry. */
  double mOthersDemand = 0;
  /** Its weight times the level of shares; infinite without contention. */
  double mShare = 0;

  /** Whether it is over its share, and so limited by mCredit. */
  bool mIsMetered = false;
  /** Engine milliseconds that it may use here; negative if used in advance. */
  double mCredit = 0;

  /** When a request is admitted whatever the share, while it is metered. */
  Millis mFloorAt;

  Millis mSeenAt;
  Millis mRefusedAt;
  /** Requests refused. */
  uint64_t mShed = 0;
  /** Whether it has been announced as over its share. */
  bool mAnnounced = false;

  /** The demand last reported to other entries. */
  double mReportedDemand = 0;
  Millis mReportedAt;
};

} // namespace trefoilarch
