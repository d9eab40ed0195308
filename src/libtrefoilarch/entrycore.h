#pragma once

#include "classifier.h"
#include "ids.h"
#include "messages.h"
#include "millis.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** Settings of an entry; times in milliseconds. */
struct EntryOptions
{
  EntryId mEntry;
  std::string mDataCentre;
  /**
   * Number of concurrent offers for one request; one more in the upper half of
   * the tiers.
   */
  size_t mOfferWidth = 3;
  /** Silence after which a channel with open requests is replaced. */
  Millis mSilenceTimeout{ 1500 };
  Millis mHeartbeat{ 500 };
  /** Heartbeat interval of a channel with nothing open. */
  Millis mIdleHeartbeat{ 5000 };
  size_t mMaxOpen = 10000;
  /** Retries allowed per hundred first attempts of a class. */
  double mRetryPercent = 10;
  Millis mInitialBackoff{ 20 };
  Millis mMaxBackoff{ 2000 };
  uint64_t mSeed = 1;
};

/** A caller's request after classification. */
struct EntryRequest
{
  RequestId mId;
  ClassifiedRequest mClassified;
  Call mCall;
  uint32_t mPromptTokens = 0;
  /** Hash of the prompt prefix that requests to the model share; 0: none. */
  uint64_t mPrefixHash = 0;
  /** The caller's limit (max_tokens); 0: no limit known. */
  uint32_t mMaxOutputTokens = 0;
};

/** Sends a message to a sidecar over its current channel. */
struct SendToSidecar
{
  UpstreamId mUpstream;
  EntryMessage mMessage;
};

/** Closes the upstream's channel and opens a new one. */
struct ReopenChannel
{
  UpstreamId mUpstream;
};

/** Begins the response to the caller. */
struct AnswerHead
{
  RequestId mId;
  int32_t mStatus = 0;
  Headers mHeaders;
};

/** A part of the response body. */
struct AnswerData
{
  RequestId mId;
  std::string mData;
};

/** The response is complete. */
struct AnswerEnd
{
  RequestId mId;
};

/** Responds with an error; after AnswerHead, with a terminal event. */
struct AnswerError
{
  RequestId mId;
  Refusal mRefusal;
};

using EntryAction = std::variant<SendToSidecar,
                                 ReopenChannel,
                                 AnswerHead,
                                 AnswerData,
                                 AnswerEnd,
                                 AnswerError>;
using EntryActions = std::vector<EntryAction>;

/**
 * Makes all decisions of an entry: where a request goes, what is retried, and
 * that each caller gets one complete response. Single-threaded. Each call
 * returns the actions that the caller has to carry out in order.
 */
class EntryCore
{
public:
  explicit EntryCore(EntryOptions aOptions);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  EntryActions OnRequest(EntryRequest aRequest, Millis aNow);
  EntryActions OnCallerLeft(RequestId aId, Millis aNow);
  EntryActions OnMessage(const UpstreamId& aUpstream,
                         SidecarMessage aMessage,
                         Millis aNow);
  /** A channel is open and carries messages; Welcome follows. */
  EntryActions OnChannelUp(const UpstreamId& aUpstream, Millis aNow);
  EntryActions OnChannelDown(const UpstreamId& aUpstream, Millis aNow);
  /** Due at NextWake(); has no effect at any other time. */
  EntryActions OnTick(Millis aNow);

  /**
   * Sets the upstreams this entry has channels to, and which of them are
   * leaving.
   */
  EntryActions SetUpstreams(std::vector<UpstreamView> aUpstreams,
                            const std::vector<UpstreamId>& aLeaving,
                            Millis aNow);
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);

  /**
   * Whether requests still run at the upstream. As long as they do, the caller
   * must keep the channel of an upstream that is no longer listed.
   */
  bool NeedsChannel(const UpstreamId& aUpstream) const;
  /** Number of requests without a final response. */
  size_t OpenRequests() const;
  Millis NextWake() const;
  /** State dump as JSON text, without any request content. */
  std::string DumpState(Millis aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilarch
