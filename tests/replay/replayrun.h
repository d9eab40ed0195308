#pragma once

#include "router.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace replay {

/** How a class fared in a replay. */
struct ClassScore
{
  size_t mAsked = 0;
  /** Whole, within the deadline, and both token targets met. */
  size_t mAttained = 0;
  /** Whole within the deadline. */
  size_t mCompleted = 0;
  /** Whole within the deadline, though the first token was late. */
  size_t mLateFirst = 0;
  /** Whole within the deadline, though tokens came too slowly. */
  size_t mSlowTokens = 0;
  /** Given no whole answer, by the last error kind. */
  std::map<std::string, size_t> mRefused;
  /** From the arrival, of answers that began; sorted, in milliseconds. */
  std::vector<int64_t> mFirstTokens;
  /** From the arrival to the last refusal of those refused, sorted. */
  std::vector<int64_t> mRefusedAfter;

  double Attainment() const;
  double Completion() const;
};

/** The outcome of one replay. */
struct Score
{
  std::map<std::string, ClassScore> mClasses;
  /** Work of answers that met all their targets, as a part of an upper bound
   * on what any router could have reached. */
  double mGoodput = 0;
  /** Work for answers that nobody got whole in time, of all work. */
  double mWaste = 0;
  /** Requests that neither ended whole nor with an error. */
  size_t mLost = 0;
  /** Answers that ended twice. */
  size_t mTwice = 0;
  /** Non-idempotent requests that were executed more than once. */
  size_t mRunTwice = 0;
  /** Errors that said `ran: no` of a request that had been executed. */
  size_t mFalseNo = 0;
  /** Prompt tokens that the engines read, where the router counts them. */
  uint64_t mPrefilled = 0;
  std::string mDump;
};

/** Replays the trace through the router, in virtual time. */
Score
Replay(const Trace& aTrace, const RouterMaker& aMaker);

/** The promises that the score breaks, in words; empty if it keeps all. */
std::vector<std::string>
BrokenPromises(const Trace& aTrace, const Score& aScore);

/** A quantile of sorted values; 0 if there are none. */
int64_t
Quantile(const std::vector<int64_t>& aSorted, double aShare);

} // namespace replay
