#pragma once

#include "callerconnection.h"
#include "upstreamanswer.h"

#include "libtrefoilarch/directrouter.h"
#include "libtrefoilarch/loadstatement.h"

#include <functional>
#include <optional>
#include <string>

namespace trefoilgate {

/** Attributes that an entry adds to a request to an upstream. */
struct OutgoingRequestInfo
{
  trefoilarch::UpstreamId mUpstream;
  std::string mWorkspace;
  /** 0 is the most urgent; the route's priority decides between equals. */
  uint8_t mPriority = 0;
  uint8_t mRoutePriority = 0;
  trefoilarch::Millis mTimeLeft;
  /** Address of an upstream with more of the prompt in its cache, or empty. */
  std::string mHolderAddress;
  /** Address of an upstream that is to keep a copy of the run, or empty. */
  std::string mBackupAddress;
  /** Address of the upstream whose run this one has a copy of, or empty. */
  std::string mCopySourceAddress;
  /** Id of the last event that the caller has received; empty at the first
   * attempt. */
  std::string mLastEventId;
};

/** Whether an upstream's answer counts. */
enum class AnswerValidity : uint8_t
{
  Genuine,    /**< the upstream's answer to this request */
  NotRun,     /**< the upstream did not run the request */
  Mismatched, /**< the answer belongs to another request */
  Unsealed,   /**< a success without the upstream's seal */
};

/**
 * The header names that callers and upstreams of one kind of deployment use,
 * and their meaning. Given as hooks, so that the gateway contains no
 * deployment's names.
 */
struct Dialect
{
  /** The caller's id of its request, for logs and for matching answers. */
  std::function<std::string(const CallerRequest&)> mRequestId;
  std::function<trefoilarch::RequestAttributes(const CallerRequest&)>
    mRequestAttributes;
  /** The caller's key, as in RequestAttributes. */
  std::function<std::string(const CallerRequest&)> mKey;
  /** Headers of the request to an upstream: the caller's headers without those
   * reserved for the system, and the system's headers. */
  std::function<HeaderBlock(const CallerRequest&, const OutgoingRequestInfo&)>
    mOutgoing;
  std::function<AnswerValidity(const UpstreamAnswer&, const std::string& aId)>
    mClassify;
  std::function<trefoilarch::LoadStatement(const UpstreamAnswer&)> mLoad;
  /** The upstream's rate limit; empty if the answer names none. */
  std::function<std::optional<trefoilarch::NamedLimit>(const UpstreamAnswer&)>
    mLimit = [](const UpstreamAnswer&) { return std::nullopt; };
  /** What the answer states about further requests to its upstream. */
  std::function<trefoilarch::AvailabilityStatement(const UpstreamAnswer&)>
    mAvailability = [](const UpstreamAnswer&) {
      return trefoilarch::AvailabilityStatement{};
    };
};

} // namespace trefoilgate
