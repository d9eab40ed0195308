#pragma once

#include "router.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace replay {

/** The results of one request class in a replay. */
struct ClassScore
{
  size_t mRequestCount = 0;
  /** Completed within the deadline with both token targets met. */
  size_t mAttained = 0;
  /** Completed within the deadline. */
  size_t mCompleted = 0;
  /** Completed within the deadline, but the first token was late. */
  size_t mLateFirstTokens = 0;
  /** Completed within the deadline, but tokens came too slowly. */
  size_t mSlowTokens = 0;
  /** Not completed, by the last error kind. */
  std::map<std::string, size_t> mRefused;
  /** Times from arrival to first token, sorted, in milliseconds. */
  std::vector<int64_t> mFirstTokenTimes;
  /** Times from arrival to the end of requests that were not completed, sorted,
   * in milliseconds. */
  std::vector<int64_t> mRefusalTimes;

  double Attainment() const;
  double Completion() const;
};

/** The results of one replay. */
struct Score
{
  std::map<std::string, ClassScore> mClasses;
  /** Work of responses that met all their targets, as a share of an upper bound
   * on what any router could reach. */
  double mGoodput = 0;
  /** Share of all work spent on responses that no caller received complete in
   * time. */
  double mWaste = 0;
  /** Requests that ended neither complete nor with an error. */
  size_t mLost = 0;
  /** Requests whose end was reported twice. */
  size_t mEndedTwice = 0;
  /** Non-idempotent requests that were executed more than once. */
  size_t mExecutedTwice = 0;
  /** Errors that reported `ran: no` for a request that had been executed. */
  size_t mFalseNotRun = 0;
  /** Prompt tokens that the engines prefilled; 0 if not counted. */
  uint64_t mPrefilled = 0;
  std::string mDump;
};

/** Replays the trace through the router, in virtual time. */
Score
Replay(const Trace& aTrace, const RouterMaker& aMaker);

/** Describes each expectation that the score fails; empty if it meets all. */
std::vector<std::string>
FailedExpectations(const Trace& aTrace, const Score& aScore);

/** A quantile of sorted values; 0 if there are none. */
int64_t
Quantile(const std::vector<int64_t>& aSorted, double aShare);

} // namespace replay
