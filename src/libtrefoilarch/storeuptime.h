#pragma once

#include "millis.h"
#include "storeservinginterval.h"

#include <optional>

namespace trefoilarch {

/** How a StoreUptime judges; times in milliseconds. */
struct StoreUptimeOptions
{
  /** The store was away where nobody is known to have had an answer for
   * longer than this. */
  Millis mMinOutage{ 1250 };
};

/**
 * How long the store has served without an outage, as far as all entries
 * together know. An entry that could not reach the store learns from the
 * answers that others had whether the store was there all the time. All times
 * are of the store's own clock.
 */
class StoreUptime
{
public:
  explicit StoreUptime(StoreUptimeOptions aOptions = {});

  /** The store has answered this entry; its clock showed that. True where that
   * shows an outage since the answers before. */
  bool OnAnswer(Millis aReading);
  /** Another entry knows of that run; true as above. */
  bool OnPeerReport(const StoreServingInterval& aTold);

  /** Empty before the first answer. */
  const std::optional<StoreServingInterval>& Interval() const { return mRun; }

  /** An outage was seen, though others may have shown since that it was none.
   */
  bool SawOutage() const { return mSawOutage; }

private:
  StoreUptimeOptions mOptions;
  std::optional<StoreServingInterval> mRun;
  bool mSawOutage = false;
};

} // namespace trefoilarch
