#pragma once

#include "millis.h"

#include <optional>

namespace trefoilarch {

/** When a request is refused rather than taken too late. */
struct EngineAdmissionOptions
{
  /** A wait of more than this many times the target is too long. At 0.5 and
   * 0.9 the mean worth of days with trouble was 0.766 and 0.770 at 18 engines
   * (three runs each), 0.662 and 0.635 at 56, 0.592 and 0.551 at 40 that were
   * overloaded throughout (one run each)... */
  double mMaxWaitShare = 0.5;
  /** ...where a target below this is judged as if it were this: a request that
   * comes back after a refusal is no sooner. */
  Millis mMinTarget{ 800 };
  /** An answer whose expected end takes more than this share of the time that
   * its caller has is too late as well. */
  double mMaxTimeShare = 0.9;
};

/** What a request would get at the engine that it would be sent to. */
struct StartForecast
{
  /** Until its own prompt's turn, in milliseconds. */
  double mWaitMs = 0;
  /** From there to its first token: a long prompt is no overload. */
  double mPrefillMs = 0;
  /** From there to its end, as answers of its route take on average. */
  double mAnswerMs = 0;
};

/** What a request is owed. */
struct StartRequirements
{
  Millis mTarget;
  /** The time that its caller has. */
  Millis mLimit;
  /** Above 1 for the more urgent. */
  double mPriorityWeight = 1;
};

/**
 * Refuses requests that engines could not begin or end in time. It answers
 * a load that stands in front of every engine: while one of them is free,
 * nothing is refused, however many requests come.
 */
class EngineAdmission
{
public:
  explicit EngineAdmission(EngineAdmissionOptions aOptions = {});

  /** When to come back, where the request can't be taken: about when the wait
   * will have become short enough. */
  std::optional<Millis> Refuse(const StartForecast& aForecast,
                               const StartRequirements& aTerms) const;

private:
  EngineAdmissionOptions mOptions;
};

} // namespace trefoilarch
