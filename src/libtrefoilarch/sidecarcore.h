#pragma once

#include "ids.h"
#include "messages.h"
#include "millis.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoilarch {

/** How a sidecar decides; times in milliseconds. */
struct SidecarOptions
{
  UpstreamId mUpstream{};
  std::string mDataCentre{};
  std::map<std::string, std::string> mLabels{};
  uint64_t mIncarnation = 0;
  /** Requests that may wait here; the lowest tier is shed beyond it. */
  size_t mQueueLimit = 2000;
  /** A waiting class of which nothing runs gets a floor start after this. */
  Millis mFloorStartDelay{ 2000 };
  /** A grant that no Start answers within this span is voided. */
  Millis mGrantTimeout{ 1000 };
  /** A running attempt whose entry is gone is cancelled after this span. */
  Millis mOrphanTimeout{ 5000 };
  /** How long a finished or voided attempt is remembered. */
  Millis mLedgerRetention{ 300000 };
  size_t mLedgerLimit = 100000;
  /** Bytes of unacknowledged answer kept for one attempt. */
  size_t mAnswerLimit = 4194304;
  Millis mHeartbeat{ 500 };
  /** An entry with open attempts that is silent for this long is taken for
   * gone, and heard again after a new Hello; several of its heartbeats. */
  Millis mEntrySilenceTimeout{ 2000 };
  /** A plain service has no tokens: its room is a number of calls. */
  bool mTokenStream = true;
  uint64_t mInitialTokenCapacity = 16384; /**< tokens in flight to begin with */
  /** What the upstream can hold at a time (an engine's key-value memory). */
  uint64_t mMaxTokenCapacity = 1048576;
  /** Calls that the upstream runs at a time (an engine's batch). */
  size_t mMaxRunning = 256;
  uint64_t mSeed = 1;
};

/** Sends a message to an entry, over its newest channel. */
struct SendToEntry
{
  EntryId mEntry;
  SidecarMessage mMessage;
};

/** Sends the call to the upstream. */
struct StartCall
{
  AttemptKey mKey;
  Call mCall;
  Tier mTier = 0; /**< becomes the engine's priority */
};

/** Stops the upstream's work on the attempt, at once. */
struct CancelCall
{
  AttemptKey mKey;
};

using SidecarAction = std::variant<SendToEntry, StartCall, CancelCall>;
using SidecarActions = std::vector<SidecarAction>;

/** The upstream's status line and headers have come. */
struct CallHead
{
  AttemptKey mKey;
  int32_t mStatus = 0;
  Headers mHeaders;
};

/** A part of the upstream's answer. */
struct CallData
{
  AttemptKey mKey;
  std::string mData;
  uint32_t mTokens = 0;
};

/** The upstream's answer is whole. */
struct CallDone
{
  AttemptKey mKey;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

/** The upstream's answer ended early, or there never was one. */
struct CallFailed
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::UpstreamFailed;
  Ran mRan = Ran::Maybe;
};

using CallEvent = std::variant<CallHead, CallData, CallDone, CallFailed>;

/**
 * All of a sidecar's decisions: its queue is the upstream's queue, and its
 * ledger says what ran. Single-threaded; each call returns the actions that
 * the caller carries out in order.
 */
class SidecarCore
{
public:
  explicit SidecarCore(SidecarOptions aOptions);
  ~SidecarCore();
  SidecarCore(const SidecarCore&) = delete;
  SidecarCore& operator=(const SidecarCore&) = delete;

  /** A message came over the newest channel of an entry. */
  SidecarActions OnMessage(const EntryId& aEntry,
                           EntryMessage aMessage,
                           Millis aNow);
  /** The entry's newest channel is gone. */
  SidecarActions OnEntryDown(const EntryId& aEntry, Millis aNow);
  SidecarActions OnCall(CallEvent aEvent, Millis aNow);
  /** Due at NextWake(), and harmless at any other time. */
  SidecarActions OnTick(Millis aNow);

  /** No grants any more; what runs goes on. */
  SidecarActions Drain(Millis aNow);
  /** Undoes Drain. */
  SidecarActions Undrain(Millis aNow);
  /** After Drain: nothing runs and no answer waits for its last Ack. */
  bool Idle() const;

  void SetPolicyVersion(uint64_t aVersion);

  Millis NextWake() const;
  Load CurrentLoad() const;
  /** For the state dump, as JSON text; no request text in it. */
  std::string DumpState(Millis aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilarch
