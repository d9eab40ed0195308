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

/** A request as Admission looks at it. */
struct AdmissionRequest
{
  ServiceLevel mLevel;
  uint64_t mTokens = 0;
  /** From start to end, at the least. */
  Millis mMinDuration;
  /** Until the start is too late for the first-token target. */
  Millis mLatestStart;
  Millis mDeadline;
};

/**
 * Says which requests can't meet their deadline, from the measured drain rate
 * and the tokens that start before them, and when to come back.
 *
 * Only requests of its own and higher tiers count against a request; a class
 * that lives on its floor is judged by the floor. An upstream with nothing
 * running is always tried, so a bad measurement can't shut it for good.
 */
class Admission
{
public:
  Admission(const Schedule& aSchedule,
            const UpstreamCapacity& aCapacity,
            const ServiceRate& aRate,
            uint64_t aSeed);

  /** When to come back, if a new request can't meet its deadline. */
  std::optional<Millis> Refuse(const AdmissionRequest& aRequest, Millis aNow);
  /** The same for one that waits and can't be on time any more. */
  std::optional<Millis> GiveUp(const AdmissionRequest& aRequest, Millis aNow);
  /** When a place is likely, jittered so that callers don't return at once. */
  Millis RetryAfter(const ServiceLevel& aLevel, Millis aNow);

private:
  double EstimateWait(const AdmissionRequest& aRequest,
                      bool aLate,
                      Millis aNow) const;
  double EstimateFloorWait(const ServiceLevel& aLevel, Millis aNow) const;
  /** Tokens in flight at the most, whichever bound is reached first. */
  uint64_t Limit() const;
  Millis Jittered(double aMillis);

  const Schedule& mSchedule;
  const UpstreamCapacity& mCapacity;
  const ServiceRate& mRate;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
