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

/** Settings of a sidecar; times in milliseconds. */
struct SidecarOptions
{
  UpstreamId mUpstream{};
  std::string mDataCentre{};
  std::map<std::string, std::string> mLabels{};
  uint64_t mIncarnation = 0;
  /** Maximum number of waiting requests; beyond it the lowest tier is shed. */
  size_t mQueueLimit = 2000;
  /**
   * A waiting class with nothing running gets a floor start after this time.
   */
  Millis mFloorStartDelay{ 2000 };
  /** A grant is voided if no Start arrives within this time. */
  Millis mGrantTimeout{ 1000 };
  /** A running attempt whose entry is gone is cancelled after this time. */
  Millis mOrphanTimeout{ 5000 };
  /** How long a finished or voided attempt is remembered. */
  Millis mLedgerRetention{ 300000 };
  size_t mLedgerLimit = 100000;
  /** Maximum bytes of unacknowledged response per attempt. */
  size_t mAnswerLimit = 4194304;
  /** The same of all attempts: none may have more than is free. */
  size_t mTotalAnswerLimit = 16777216;
  Millis mHeartbeat{ 500 };
  /**
   * An entry with open attempts that is silent for this long, several of its
   * heartbeats, is treated as gone and ignored until its next Hello.
   */
  Millis mEntrySilenceTimeout{ 2000 };
  /** A plain service has no tokens: its capacity is a number of calls. */
  bool mTokenStream = true;
  uint64_t mInitialTokenCapacity =
    16384; /**< initial limit on tokens in flight */
  /** Tokens the upstream can hold at a time (an engine's key-value memory). */
  uint64_t mMaxTokenCapacity = 1048576;
  /** Calls the upstream runs at a time (an engine's batch). */
  size_t mMaxRunning = 256;
  uint64_t mSeed = 1;
};

/** Sends a message to an entry over its newest channel. */
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

/** Stops the upstream's work on the attempt at once. */
struct CancelCall
{
  AttemptKey mKey;
};

using SidecarAction = std::variant<SendToEntry, StartCall, CancelCall>;
using SidecarActions = std::vector<SidecarAction>;

/** The upstream's status line and headers have arrived. */
struct CallHead
{
  AttemptKey mKey;
  int32_t mStatus = 0;
  Headers mHeaders;
};

/** A part of the upstream's response. */
struct CallData
{
  AttemptKey mKey;
  std::string mData;
  uint32_t mTokens = 0;
};

/** The upstream's response is complete. */
struct CallDone
{
  AttemptKey mKey;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

/** The upstream's response ended early or never began. */
struct CallFailed
{
  AttemptKey mKey;
  ErrorKind mKind = ErrorKind::UpstreamFailed;
  Ran mRan = Ran::Maybe;
};

/** The upstream has refused the call and accepts no calls for this time. */
struct CallPause
{
  AttemptKey mKey;
  Millis mDuration;
};

using CallEvent =
  std::variant<CallHead, CallData, CallDone, CallFailed, CallPause>;

/**
 * Makes all decisions of a sidecar: its queue is the upstream's queue, and its
 * ledger records what ran. Single-threaded. Each call returns the actions that
 * the caller has to carry out in order.
 */
class SidecarCore
{
public:
  explicit SidecarCore(SidecarOptions aOptions);
  ~SidecarCore();
  SidecarCore(const SidecarCore&) = delete;
  SidecarCore& operator=(const SidecarCore&) = delete;

  /** A message arrived over the newest channel of an entry. */
  SidecarActions OnMessage(const EntryId& aEntry,
                           EntryMessage aMessage,
                           Millis aNow);
  /** The entry's newest channel has closed. */
  SidecarActions OnEntryDown(const EntryId& aEntry, Millis aNow);
  SidecarActions OnCall(CallEvent aEvent, Millis aNow);
  /** Due at NextWake(); has no effect at any other time. */
  SidecarActions OnTick(Millis aNow);

  /** Stops granting; running calls continue. */
  SidecarActions Drain(Millis aNow);
  /** Undoes Drain. */
  SidecarActions Undrain(Millis aNow);
  /** After Drain: whether nothing runs and no response awaits its last Ack. */
  bool Idle() const;

  void SetPolicyVersion(uint64_t aVersion);

  Millis NextWake() const;
  Load CurrentLoad() const;
  /** State dump as JSON text, without any request content. */
  std::string DumpState(Millis aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilarch
