#pragma once

#include "messages.h"
#include "millis.h"

#include <cstdint>
#include <optional>
#include <random>

namespace trefoilarch {

class UpstreamCapacity;
class Schedule;
class ServiceRate;

/** What Admission has to know about a request. */
struct AdmissionRequest
{
  ServiceLevel mLevel;
  uint64_t mTokens = 0;
  /** Minimum time from start to end. */
  Millis mMinDuration;
  /** Time until a start is too late for the first-token target. */
  Millis mLatestStart;
  Millis mDeadline;
};

/**
 * Decides which requests can't meet their deadline, and when their callers
 * should retry, from the measured drain rate and the tokens queued ahead.
 *
 * Only requests of the same and higher tiers count against a request; a class
 * that is served by its floor is judged by the floor. An upstream with nothing
 * running is always tried, so a bad measurement can't block it for good.
 */
class Admission
{
public:
  Admission(const Schedule& aSchedule,
            const UpstreamCapacity& aCapacity,
            const ServiceRate& aRate,
            uint64_t aSeed);

  /** Returns when to retry if a new request can't meet its deadline. */
  std::optional<Millis> Refuse(const AdmissionRequest& aRequest, Millis aNow);
  /** The same for a waiting request that can't start on time any more. */
  std::optional<Millis> GiveUp(const AdmissionRequest& aRequest, Millis aNow);
  /**
   * When capacity is likely to be free, jittered so that callers don't return
   * all at once.
   */
  Millis RetryAfter(const ServiceLevel& aLevel, Millis aNow);
  /** When to retry if the upstream accepts nothing for this time. */
  Millis RetryAfterPause(Millis aRemaining);

private:
  double EstimateWait(const AdmissionRequest& aRequest,
                      bool aLate,
                      Millis aNow) const;
  double EstimateFloorWait(const ServiceLevel& aLevel, Millis aNow) const;
  /** Maximum tokens in flight, by the tighter of the two limits. */
  uint64_t Limit() const;
  Millis Jittered(double aMillis);

  const Schedule& mSchedule;
  const UpstreamCapacity& mCapacity;
  const ServiceRate& mRate;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
