#pragma once

#include "millis.h"
#include "runningmean.h"

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace trefoilarch {

struct StartMeterOptions
{
  /** Maximum expected wait of a new request, as a share of its target. */
  double mMaxWaitShare = 0.9;
  /** It is only rejected if recent waits were at least this share of it. */
  double mSlowShare = 0.55;
  /** A lower target is raised to this: a request that is retried after a
   * rejection doesn't start any sooner. */
  Millis mMinTarget{ 800 };
  /** The response is expected to take this many times the mean response
   * time. */
  double mAnswerSpread = 1.5;
  /** A request is also rejected if its wait and its response exceed this share
   * of its timeout. If all responses are slow, engines prefill prompts without
   * a break. */
  double mMaxTimeShare = 0.8;
  /** Number of requests that may always be pending. */
  uint32_t mAlwaysAllowedPending = 2;
  /** A request that was overtaken is no longer expected to start after this
   * many times the mean wait, and this time at least. */
  double mMaxWaitFactor = 4;
  Millis mMinOvertakenWait{ 800 };
};

/**
 * Measures how one route's requests start at their upstreams, and rejects new
 * ones that would start too late, by the number of pending requests and the
 * rate of starts. Nothing is rejected while starts are fast, since the rate
 * then reflects the demand and not the capacity. Requests whose answers will
 * never begin are no queue: they count until others that were sent later, and
 * are no more urgent, have started long before them.
 */
class StartMeter
{
public:
  explicit StartMeter(StartMeterOptions aOptions = {});

  /** 0 is the most urgent priority. */
  void OnSent(Millis aNow, uint8_t aPriority = 0);
  /** A response started; aSentAt and aPriority as in OnSent(). */
  void OnStarted(Millis aSentAt, Millis aNow, uint8_t aPriority = 0);
  /** A response was completed, or could not be completed in time. */
  void OnEnded(Millis aStartedAt, Millis aNow);
  /** A pending request has ended without a start. */
  void OnAbandoned(Millis aSentAt, uint8_t aPriority = 0);

  /**
   * Returns the retry delay if a request that should start within aTarget and
   * end within aLimit can't be accepted. aWeight is above 1 for the more
   * urgent.
   */
  std::optional<Millis> Refuse(Millis aTarget,
                               Millis aLimit,
                               double aWeight,
                               Millis aNow);

  /** The wait of a request sent now, by the rate of starts. */
  Millis ExpectedWait(Millis aNow);
  uint32_t Pending() const { return static_cast<uint32_t>(mPending.size()); }
  /** Requests that were sent and have not ended, whether started or not. */
  uint32_t Open() const { return Pending() + mRunning; }
  /** Mean time from the start of a response to its end, in milliseconds. */
  double AnswerMs() const { return mMeanAnswer.Value(); }
  /** Time from the start of a response within which most end. */
  double LongAnswerMs() const { return mOptions.mAnswerSpread * AnswerMs(); }
  /** Time until recent requests started; 0 if there were none. */
  double RecentWaitMs(Millis aNow) const;

private:
  /** Weight of the newest response time. Response times vary more than waits,
   * and an entry in a fleet of a hundred sees one a second. */
  static constexpr double kNewestAnswerWeight = 0.05;

  /** Pending requests that are expected to start. */
  struct Queue
  {
    size_t mRequests = 0;
    /** Sum of their ages. */
    double mAgeMs = 0;
  };

  Queue QueueAt(Millis aNow) const;
  double Rate(Millis aNow);
  bool StartsTooLate(Millis aTarget, double aWeight, Millis aNow);
  bool EndsTooLate(Millis aLimit, double aWeight, Millis aNow);
  void RemovePending(Millis aSentAt, uint8_t aPriority);

  StartMeterOptions mOptions;
  /** Send times and priorities of pending requests. */
  std::multiset<std::pair<Millis, uint8_t>> mPending;
  uint32_t mRunning = 0;
  /** Sum of the send times of pending requests, for their mean age. */
  int64_t mSentAtSum = 0;
  /** By priority: when the newest request that has started, of this priority or
   * a less urgent one, was sent. */
  std::array<Millis, std::numeric_limits<uint8_t>::max() + 1> mNewestStarted{};
  std::deque<Millis> mStarts;
  double mMeanWait = 0;
  /** Mean time from the start of a response to its end. */
  RunningMean mMeanAnswer{ kNewestAnswerWeight };
  Millis mMeanWaitAt;
};

} // namespace trefoilarch
