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
  /** The longest pause of the response's stream; 0 if unknown. */
  double mLongestPauseMs = 0;
};

/** The limits that a request must meet. */
struct StartRequirements
{
  Millis mTarget;
  /** The caller's timeout. */
  Millis mLimit;
  /** Above 1 for the more urgent. */
  double mPriorityWeight = 1;
  /** The longest pause that the stream allows; 0 if it allows any. */
  Millis mMaxPause;
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
  /** The part of the requirements that the forecast uses up: 1 if the request
   * just meets them, above 1, up to kMaxPressure, if it doesn't. */
  double Pressure(const StartForecast& aForecast,
                  const StartRequirements& aRequirements) const;

  static constexpr double kMaxPressure = 4;

private:
  /** The maximum wait, in milliseconds. */
  double WaitLimit(const StartForecast& aForecast,
                   const StartRequirements& aRequirements) const;

  EngineAdmissionOptions mOptions;
};

} // namespace trefoilarch
