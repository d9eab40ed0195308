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

/** How an entry decides; times in milliseconds. */
struct EntryOptions
{
  EntryId mEntry;
  std::string mDataCentre;
  /** Offers made at a time for one request; one more in the upper tiers. */
  size_t mOfferWidth = 3;
  /** Silence on a channel with open requests after which it is replaced. */
  Millis mSilenceTimeout{ 1500 };
  Millis mHeartbeat{ 500 };
  /** Heartbeats on a channel with nothing open. */
  Millis mIdleHeartbeat{ 5000 };
  size_t mMaxOpen = 10000;
  /** Retries allowed for each hundred first attempts of a class. */
  double mRetryPercent = 10;
  Millis mInitialBackoff{ 20 };
  Millis mMaxBackoff{ 2000 };
  uint64_t mSeed = 1;
};

/** A caller's request, classified. */
struct EntryRequest
{
  RequestId mId;
  ClassifiedRequest mClassified;
  Call mCall;
  uint32_t mPromptTokens = 0;
  /** Of what the caller and the model know in common; 0: nothing. */
  uint64_t mPrefixHash = 0;
  /** The most the caller allows (max_tokens); 0: no limit known. */
  uint32_t mMaxOutputTokens = 0;
};

/** Sends a message to a sidecar over its current channel. */
struct SendToSidecar
{
  UpstreamId mUpstream;
  EntryMessage mMessage;
};

/** Drops the upstream's channel and opens a fresh one. */
struct ReopenChannel
{
  UpstreamId mUpstream;
};

/** Begins the caller's answer. */
struct AnswerHead
{
  RequestId mId;
  int32_t mStatus = 0;
  Headers mHeaders;
};

/** A part of the caller's answer. */
struct AnswerData
{
  RequestId mId;
  std::string mData;
};

/** The caller's answer is whole. */
struct AnswerEnd
{
  RequestId mId;
};

/** The caller's answer is an error; after AnswerHead, a terminal event. */
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
 * All of an entry's decisions: where a request goes, what is retried, and
 * that each caller gets its whole answer once. Single-threaded; each call
 * returns the actions that the caller carries out in order.
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
  /** Due at NextWake(), and harmless at any other time. */
  EntryActions OnTick(Millis aNow);

  /** The upstreams this entry has channels to, and which are leaving. */
  EntryActions SetUpstreams(std::vector<UpstreamView> aUpstreams,
                            const std::vector<UpstreamId>& aLeaving,
                            Millis aNow);
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);

  /**
   * Whether requests still run at the upstream. The caller keeps the channel
   * of an upstream that is off the list for as long.
   */
  bool NeedsChannel(const UpstreamId& aUpstream) const;
  /** Requests that have no final answer yet. */
  size_t OpenRequests() const;
  Millis NextWake() const;
  /** For the state dump, as JSON text; no request text in it. */
  std::string DumpState(Millis aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilarch
