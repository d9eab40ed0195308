#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoilload {

/** Outcome of a request as seen by its caller. */
enum class CallOutcome
{
  Open,       /**< still in progress */
  Complete,   /**< the complete expected response */
  Refused,    /**< an error response that reports it has not run */
  Failed,     /**< accepted, but ended with a reported error */
  Wrong,      /**< unexpected bytes, or truncated but ended as complete */
  Unanswered, /**< no response, or truncated without an error */
};

std::string
Name(CallOutcome aOutcome);

/** What a caller observed of a request; times in ms since the run's start. */
struct CallRecord
{
  CallOutcome mOutcome = CallOutcome::Open;
  std::string mMark; /**< identifies the request's executions */
  int mStatus = 0;
  std::string mRequestId; /**< assigned by the entry */
  std::string mKind;      /**< error kind */
  std::string mRan;       /**< error's `ran` */
  int64_t mRetryAfter = 0;
  int64_t mSent = 0;
  int64_t mFirst = 0; /**< first token, or the complete response */
  int64_t mEnded = 0;
  int64_t mMaxGap = 0; /**< between consecutive tokens */
  size_t mTokens = 0;
};

} // namespace trefoilload
