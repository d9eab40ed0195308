#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoilload {

/** How a request ended for its caller. */
enum class CallOutcome
{
  Open,       /**< has not ended */
  Whole,      /**< the whole answer and no other */
  Refused,    /**< an error answer that says it has not run */
  Failed,     /**< accepted, but ended in an honest error */
  Wrong,      /**< bytes that are not its answer, or a cut that looks whole */
  Unanswered, /**< no answer, or cut without a word */
};

std::string
Name(CallOutcome aOutcome);

/** What a caller saw of one request; times are milliseconds of the run. */
struct CallRecord
{
  CallOutcome mOutcome = CallOutcome::Open;
  std::string mMark; /**< names the request's executions */
  int mStatus = 0;
  std::string mRequestId; /**< as the entry gave it */
  std::string mKind;      /**< of an error */
  std::string mRan;       /**< of an error */
  int64_t mRetryAfter = 0;
  int64_t mSent = 0;
  int64_t mFirst = 0; /**< first token, or the whole answer */
  int64_t mEnded = 0;
  int64_t mLongestGap = 0; /**< between two tokens */
  size_t mTokens = 0;
};

} // namespace trefoilload
