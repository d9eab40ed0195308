#pragma once

#include "errors.h"
#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/**
 * The typed messages between an entry and a sidecar.
 *
 * Times are sent as remaining durations, never as instants, because the
 * monotonic clocks of two processes are unrelated.
 */
namespace trefoilarch {

/**
 * An entry's request for a place in a sidecar's queue, before anything is sent
 * to the upstream.
 */
struct Offer
{
  AttemptKey mKey;
  ServiceLevel mLevel;
  /** Remaining time until the response is of no use any more. */
  Millis mDeadline;
  /** Remaining time until the first token is late. */
  Millis mFirstTokenDue;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0; /**< estimate */
  uint64_t mPrefixHash = 0;
  bool mIdempotent = false;

  bool operator==(const Offer&) const = default;
};

/** Takes an offer back: voids it before the start, cancels it after. */
struct Withdraw
{
  AttemptKey mKey;
  bool operator==(const Withdraw&) const = default;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** The request itself, for the upstream. */
struct Call
{
  std::string mMethod;
  std::string mPath;
  Headers mHeaders;
  std::string mBody;
  /** A model engine's event stream, whose tokens are counted. */
  bool mTokenStream = false;

  bool operator==(const Call&) const = default;
};

/** Answers a grant; from here on the request may run. */
struct Start
{
  AttemptKey mKey;
  Call mCall;
  bool operator==(const Start&) const = default;
};

/** All chunks below mNextChunk have arrived and may be dropped. */
struct Ack
{
  AttemptKey mKey;
  uint64_t mNextChunk = 0;
  bool operator==(const Ack&) const = default;
};

/** On a new channel: send again from mNextChunk on. */
struct Resume
{
  AttemptKey mKey;
  uint64_t mNextChunk = 0;
  bool operator==(const Resume&) const = default;
};

/**
 * Queries the state of an attempt, and voids it if it has not started. The
 * sidecar replies with Voided or with a LedgerEntry.
 */
struct VoidOrReport
{
  AttemptKey mKey;
  bool operator==(const VoidOrReport&) const = default;
};

/** Opens a channel. */
struct Hello
{
  EntryId mEntry;
  std::string mDataCentre;
  uint64_t mPolicyVersion = 0;
  bool operator==(const Hello&) const = default;
};

/** Sent if nothing else was sent for a heartbeat interval. */
struct EntryHeartbeat
{
  uint64_t mPolicyVersion = 0;
  bool operator==(const EntryHeartbeat&) const = default;
};

using EntryMessage = std::variant<Hello,
                                  Offer,
                                  Withdraw,
                                  Start,
                                  Ack,
                                  Resume,
                                  VoidOrReport,
                                  EntryHeartbeat>;

/** The upstream's load, as reported by its sidecar. */
struct Load
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint64_t mTokensInFlight = 0;
  uint64_t mTokenCapacity = 0; /**< current limit on tokens in flight */
  uint64_t mTokensWaiting = 0;
  bool mDraining = false;

  bool operator==(const Load&) const = default;
};

/** Answers Hello. A new incarnation has lost all earlier state. */
struct Welcome
{
  UpstreamId mUpstream;
  uint64_t mIncarnation = 0;
  std::string mDataCentre;
  /** The upstream's own labels, among them `model` or `service`. */
  std::map<std::string, std::string> mLabels;
  uint64_t mPolicyVersion = 0;
  Load mLoad;
  bool operator==(const Welcome&) const = default;
};

/** The offered request may start if Start arrives within mValidFor. */
struct Grant
{
  AttemptKey mKey;
  Millis mValidFor;
  bool operator==(const Grant&) const = default;
};

/** The offer has been removed from the queue and did not run. */
struct Decline
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::Shed;
  Millis mRetryAfter;
  bool operator==(const Decline&) const = default;
};

/** The attempt did not start in this incarnation and never will. */
struct Voided
{
  AttemptKey mKey;
  uint64_t mIncarnation = 0;
  bool operator==(const Voided&) const = default;
};

/** A part of the response; chunks are numbered from 0 without gaps. */
struct Chunk
{
  AttemptKey mKey;
  uint64_t mNumber = 0;
  std::string mData;
  uint32_t mTokens = 0;
  /** Only in chunk 0: the upstream's status and headers. */
  int32_t mStatus = 0;
  Headers mHeaders;
  bool operator==(const Chunk&) const = default;
};

/** The response is complete with mChunks chunks. */
struct Finished
{
  AttemptKey mKey;
  uint64_t mChunks = 0;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  bool operator==(const Finished&) const = default;
};

/** The attempt ended without a complete response. */
struct Failed
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::UpstreamFailed;
  Ran mRan = Ran::Maybe;
  uint64_t mChunks = 0; /**< number of chunks produced before */
  bool operator==(const Failed&) const = default;
};

/** State of an attempt at a sidecar. */
enum class AttemptState : uint8_t
{
  Unknown,
  Waiting,
  Granted,
  Running,
  Finished,
  Failed,
  Voided,
};

/** Answers VoidOrReport for an attempt that had started. */
struct LedgerEntry
{
  AttemptKey mKey;
  AttemptState mState = AttemptState::Unknown;
  uint64_t mIncarnation = 0;
  bool operator==(const LedgerEntry&) const = default;
};

/** Sent if nothing else was sent for a heartbeat interval. */
struct SidecarHeartbeat
{
  Load mLoad;
  uint64_t mPolicyVersion = 0;
  bool operator==(const SidecarHeartbeat&) const = default;
};

using SidecarMessage = std::variant<Welcome,
                                    Grant,
                                    Decline,
                                    Voided,
                                    Chunk,
                                    Finished,
                                    Failed,
                                    LedgerEntry,
                                    SidecarHeartbeat>;

} // namespace trefoilarch
