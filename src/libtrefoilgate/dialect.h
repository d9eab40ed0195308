#pragma once

#include "callerconnection.h"
#include "upstreamanswer.h"

#include "libtrefoilarch/directrouter.h"

#include <functional>
#include <optional>
#include <string>

namespace trefoilgate {

/** What an entry sets on a request that goes to an upstream. */
struct OutgoingRequestInfo
{
  trefoilarch::UpstreamId mUpstream;
  std::string mWorkspace;
  /** 0 is the most urgent; the second decides between equals. */
  uint8_t mPriority = 0;
  uint8_t mRoutePriority = 0;
  trefoilarch::Millis mTimeLeft;
  /** Empty, or the address of an upstream that holds more of the prompt. */
  std::string mHolderAddress;
  /** Empty, or the address of an upstream that is to keep a copy. */
  std::string mBackupAddress;
  /** Empty, or the address of the upstream that left a copy at this one. */
  std::string mCopySourceAddress;
  /** The last event that the caller has; empty at the first attempt. */
  std::string mLastEventId;
};

/** How an upstream's answer is to be taken. */
enum class AnswerValidity : uint8_t
{
  Genuine,    /**< the upstream's answer to this request */
  NotRun,     /**< the upstream did not run the request */
  Mismatched, /**< the answer to another request */
  Unsealed,   /**< a success that the upstream did not vouch for */
};

/**
 * How callers and upstreams say what they say: header names and their
 * meaning, for one kind of deployment. Hooks, so that the gateway knows no
 * deployment's names.
 */
struct Dialect
{
  /** The caller's name for its request, for logs and for matching answers. */
  std::function<std::string(const CallerRequest&)> mRequestId;
  std::function<trefoilarch::RequestAttributes(const CallerRequest&)>
    mRequestAttributes;
  /** Headers of the request to an upstream: the caller's less those that the
   * system sets itself, and the system's. */
  std::function<Headers(const CallerRequest&, const OutgoingRequestInfo&)>
    mOutgoing;
  std::function<AnswerValidity(const UpstreamAnswer&, const std::string& aId)>
    mClassify;
  std::function<std::optional<trefoilarch::ReportedLoad>(const UpstreamAnswer&)>
    mLoad;
  /** The upstream's rate limit; empty where the answer names none. */
  std::function<std::optional<trefoilarch::NamedLimit>(const UpstreamAnswer&)>
    mLimit = [](const UpstreamAnswer&) { return std::nullopt; };
};

} // namespace trefoilgate
