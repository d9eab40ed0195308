#pragma once

#include "../ids.h"
#include "../millis.h"
#include "../prompt.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** A request that this entry sends to an engine. */
struct MemoryUse
{
  UpstreamId mUpstream;
  /** Unique within this process. */
  uint64_t mAttempt = 0;
  /** Tokens of the prompt without mShared. */
  uint32_t mPromptTokens = 0;
  /** Segments that the engine keeps once for all requests that use them. */
  std::vector<PromptSegment> mShared;
  /** Estimate by the caller or the entry, in tokens; 0 if there is none. */
  uint32_t mExpectedOutput = 0;
  std::string mRoute;
};

/** How an answer ended. */
enum class AnswerEnd : uint8_t
{
  Whole, /**< its length is known */
  Cut,   /**< aborted, failed or preempted */
};

/** The memory of one engine, in tokens. */
struct MemoryRoom
{
  int64_t mUsed = 0;
  /** Further output of the requests that were sent. */
  int64_t mExpected = 0;
  int64_t mMargin = 0;
  /** Below 0 if more was sent than fits. */
  int64_t mFree = 0;

  bool operator==(const MemoryRoom&) const = default;
};

/** An engine to which a request may be sent. */
struct MemoryCandidate
{
  UpstreamId mUpstream;
  /** 0 if unknown; everything fits there. */
  uint32_t mCapacityTokens = 0;
  /** Mean time per output token of a stream there, in milliseconds. */
  double mTokenMs = 0;
};

/** A request that is to be sent. */
struct MemoryRequest
{
  /** The number that OnSent will state. */
  uint64_t mAttempt = 0;
  std::string mService;
  std::string mRoute;
  /** Tokens of the prompt without mShared. */
  uint32_t mPromptTokens = 0;
  std::vector<PromptSegment> mShared;
  uint32_t mExpectedOutput = 0;
  /** 0 is the most urgent. */
  uint8_t mTier = 0;
  /** Until the first token is due. */
  Millis mFirstTokenLeft;
  /** Until the caller's deadline. */
  Millis mTimeLeft;
};

/** What to do with a request. */
struct MemoryVerdict
{
  enum class Kind : uint8_t
  {
    Fits,     /**< send it to one of mUpstreams */
    Queue,    /**< send it to mUpstreams, where it waits for memory */
    Wait,     /**< decide again at mUntil, or earlier if a request ends */
    Return,   /**< refuse it with mRetryAfter */
    TooLarge, /**< refuse it: no engine can ever hold it */
  };

  Kind mKind = Kind::Fits;
  /** In the order of the candidates. */
  std::vector<UpstreamId> mUpstreams;
  Millis mUntil;
  Millis mRetryAfter;

  bool operator==(const MemoryVerdict&) const = default;
};

} // namespace trefoilarch
