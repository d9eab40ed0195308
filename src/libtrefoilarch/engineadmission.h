#pragma once

#include "millis.h"

#include <optional>

namespace trefoilarch {

struct EngineAdmissionOptions
{
  /** Maximum wait as a share of the target. The rest is for the request's own
   * prefill. */
  double mMaxWaitShare = 0.5;
  /** A lower target is raised to this: a request that is retried after a
   * rejection doesn't start any sooner. */
  Millis mMinTarget{ 800 };
  /** Maximum share of the caller's timeout after which the response is expected
   * to end. */
  double mMaxTimeShare = 0.9;
};

/** The expected times of a request at the engine to which it would be sent. */
struct StartForecast
{
  /** Until its own prefill starts, in milliseconds. */
  double mWaitMs = 0;
  /** From there to its first token, in milliseconds. A long prompt is no
   * overload. */
  double mPrefillMs = 0;
  /** From there to the end of the response, by the mean of its route. */
  double mAnswerMs = 0;
};

/** The limits that a request must meet. */
struct StartRequirements
{
  Millis mTarget;
  /** The caller's timeout. */
  Millis mLimit;
  /** Above 1 for the more urgent. */
  double mPriorityWeight = 1;
};

/**
 * Rejects requests that engines could not start or finish in time. It reacts to
 * a load that all engines have queued: while one of them is free nothing is
 * rejected, whatever the request rate is.
 */
class EngineAdmission
{
public:
  explicit EngineAdmission(EngineAdmissionOptions aOptions = {});

  /** Returns the retry delay if the request can't be accepted: the time after
   * which the wait is expected to be short enough. */
  std::optional<Millis> Refuse(const StartForecast& aForecast,
                               const StartRequirements& aRequirements) const;

private:
  EngineAdmissionOptions mOptions;
};

} // namespace trefoilarch
