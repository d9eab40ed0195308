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
 * Times travel as remaining spans, never as instants: the two processes'
 * monotonic clocks have nothing in common.
 */
namespace trefoilarch {

/** What an entry asks for before anything is sent to an upstream. */
struct Offer
{
  AttemptKey mKey;
  ServiceLevel mLevel;
  /** Remaining time until the answer is of no use any more. */
  Millis mDeadline;
  /** Remaining time until the first token is late. */
  Millis mFirstTokenDue;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0; /**< estimate */
  uint64_t mPrefixHash = 0;
  bool mIdempotent = false;

  bool operator==(const Offer&) const = default;
};

/** Takes an offer back. Before the start it voids; after it cancels. */
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

/** All chunks below mNextChunk have arrived and may be forgotten. */
struct Ack
{
  AttemptKey mKey;
  uint64_t mNextChunk = 0;
  bool operator==(const Ack&) const = default;
};

/** Over a fresh channel: send again from mNextChunk on. */
struct Resume
{
  AttemptKey mKey;
  uint64_t mNextChunk = 0;
  bool operator==(const Resume&) const = default;
};

/**
 * Asks what became of an attempt, and voids it if it has not started. The
 * sidecar answers with Voided or with a LedgerEntry.
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

/** Sent when nothing else has been for a heartbeat interval. */
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

/** A sidecar's word on how busy its upstream is. */
struct Load
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint64_t mTokensInFlight = 0;
  uint64_t mTokenCapacity = 0; /**< limit on tokens in flight at present */
  uint64_t mTokensWaiting = 0;
  bool mDraining = false;

  bool operator==(const Load&) const = default;
};

/** Answers Hello. Another incarnation has forgotten all that came before. */
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

/** The offer may start, if Start arrives within mValidFor. */
struct Grant
{
  AttemptKey mKey;
  Millis mValidFor;
  bool operator==(const Grant&) const = default;
};

/** The offer has left the queue for good, and did not run. */
struct Decline
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::Shed;
  Millis mRetryAfter;
  bool operator==(const Decline&) const = default;
};

/** The attempt did not start at this incarnation and never will. */
struct Voided
{
  AttemptKey mKey;
  uint64_t mIncarnation = 0;
  bool operator==(const Voided&) const = default;
};

/** A part of the answer; chunks count from 0 without a gap. */
struct Chunk
{
  AttemptKey mKey;
  uint64_t mNumber = 0;
  std::string mData;
  uint32_t mTokens = 0;
  /** In chunk 0 alone: the upstream's status and headers. */
  int32_t mStatus = 0;
  Headers mHeaders;
  bool operator==(const Chunk&) const = default;
};

/** The answer is whole: it has mChunks chunks. */
struct Finished
{
  AttemptKey mKey;
  uint64_t mChunks = 0;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  bool operator==(const Finished&) const = default;
};

/** The attempt ended without a whole answer. */
struct Failed
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::UpstreamFailed;
  Ran mRan = Ran::Maybe;
  uint64_t mChunks = 0; /**< how many were produced before */
  bool operator==(const Failed&) const = default;
};

/** What a sidecar knows of an attempt. */
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

/** Sent when nothing else has been for a heartbeat interval. */
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
