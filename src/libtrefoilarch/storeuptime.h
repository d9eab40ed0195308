#pragma once

#include "millis.h"
#include "storeservinginterval.h"

#include <optional>

namespace trefoilarch {

/** Options of a StoreUptime; times in milliseconds. */
struct StoreUptimeOptions
{
  /** Minimum time without a known response to any entry that counts as an
   * outage of the store. */
  Millis mMinOutage{ 1250 };
};

/**
 * Tracks how long the store has served without an outage, as far as known to
 * all entries together. An entry that could not reach the store learns from the
 * responses to other entries whether it was available all the time. All times
 * are of the store's own clock.
 */
class StoreUptime
{
public:
  explicit StoreUptime(StoreUptimeOptions aOptions = {});

  /** The store responded to this entry at that store time. Returns true if this
   * reveals an outage since the previous responses. */
  bool OnResponse(Millis aStoreTime);
  /** Another entry reports that interval. Returns true as above. */
  bool OnPeerReport(const StoreServingInterval& aReport);

  /** Empty before the first response. */
  const std::optional<StoreServingInterval>& Interval() const
  {
    return mInterval;
  }

  /** Whether an outage was detected, even if later reports disproved it. */
  bool SawOutage() const { return mSawOutage; }

private:
  StoreUptimeOptions mOptions;
  std::optional<StoreServingInterval> mInterval;
  bool mSawOutage = false;
};

} // namespace trefoilarch
