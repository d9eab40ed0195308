#pragma once

#include "millis.h"
#include "runningmean.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace trefoilarch {

/** When a StartMeter says that a route is overloaded. */
struct StartMeterOptions
{
  /** A new request is refused if it would wait for more than this share of
   * the time in which it should start... */
  double mMaxWaitShare = 0.9;
  /** ...and the waits of late were at least this share of it. */
  double mSlowShare = 0.55;
  /** A target below this is judged as if it were this: a request that comes
   * back after a refusal is no sooner. */
  Millis mMinTarget{ 800 };
  /** A request is refused, too, if its start and this many times the mean
   * answer... */
  double mAnswerSpread = 1.5;
  /** ...take more than this share of its time; answers that are slow all
   * round are the sign of engines that read prompts without a break. */
  double mMaxTimeShare = 0.8;
  /** So many may always wait. */
  uint32_t mAlwaysAllowedPending = 2;
};

/**
 * Watches how one route's requests start at their upstreams, and refuses new
 * ones that would start too late: those that wait, by the rate at which they
 * start. While starts are quick nothing is refused, since the rate then says
 * how much is asked for and not how much is possible.
 */
class StartMeter
{
public:
  explicit StartMeter(StartMeterOptions aOptions = {});

  void OnSent(Millis aNow);
  /** An answer began; aSentAt as in OnSent(). */
  void OnStarted(Millis aSentAt, Millis aNow);
  /** An answer is whole, or could not be made whole in time. */
  void OnEnded(Millis aStartedAt, Millis aNow);
  /** One that waited has ended without a start. */
  void OnAbandoned(Millis aSentAt);

  /**
   * When to come back, if a request that should start within aTarget and end
   * within aLimit can't be taken; aFavour is above 1 for the more urgent.
   */
  std::optional<Millis> Refuse(Millis aTarget,
                               Millis aLimit,
                               double aFavour,
                               Millis aNow);

  /** The wait of a request sent now, by the rate of starts. */
  Millis ExpectedWait(Millis aNow);
  uint32_t Pending() const { return mPending; }
  /** Sent and not ended, whether started or not. */
  uint32_t Open() const { return mPending + mRunning; }
  /** Mean time from the start of an answer to its end, in milliseconds. */
  double AnswerMs() const { return mAnswer.Value(); }

private:
  /** Weight of the newest answer's time; answers vary more than waits, and an
   * entry of a hundred sees one a second. */
  static constexpr double kNewestAnswer = 0.05;

  double Rate(Millis aNow);
  double RecentWait(Millis aNow) const;
  bool StartsTooLate(Millis aTarget, double aFavour, Millis aNow);
  bool EndsTooLate(Millis aLimit, double aFavour, Millis aNow);
  void Leave(Millis aSentAt);

  StartMeterOptions mOptions;
  uint32_t mPending = 0;
  uint32_t mRunning = 0;
  /** Sum of the pending ones' send times, for their mean age. */
  int64_t mSentSum = 0;
  std::deque<Millis> mStarts;
  double mWait = 0;
  /** Mean time from the start of an answer to its end. */
  RunningMean mAnswer{ kNewestAnswer };
  Millis mWaitAt;
};

} // namespace trefoilarch
