#pragma once

#include "admission.h"
#include "ledger.h"
#include "preemptionorder.h"
#include "requestpause.h"
#include "schedule.h"
#include "servicerate.h"
#include "sidecarattempt.h"
#include "sidecarcore.h"
#include "strictesttarget.h"
#include "timers.h"
#include "upstreamcapacity.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace trefoilarch {

/** Counters since the SidecarCore was created. */
struct SidecarCounters
{
  uint64_t mOffered = 0;
  uint64_t mGranted = 0;
  uint64_t mStarted = 0;
  uint64_t mFinished = 0;
  uint64_t mFailed = 0;
  uint64_t mVoided = 0;
  uint64_t mDeclined = 0;
  uint64_t mShed = 0;        /**< declined because the queue was full */
  uint64_t mGivenUp = 0;     /**< declined because the deadline can't be met */
  uint64_t mFloorStarts = 0; /**< granted outside the limit */
  uint64_t mPreempted = 0;
  uint64_t mLateStarts = 0;      /**< Starts that came after the grant's end */
  uint64_t mStrayEvents = 0;     /**< call events of attempts that are over */
  uint64_t mPauses = 0;          /**< pauses that the upstream asked for */
  uint64_t mSilences = 0;        /**< entries that fell silent */
  uint64_t mForeignMessages = 0; /**< messages about another entry's attempt */
};

/**
 * Implementation of SidecarCore. Handlers append to mActions; each public call
 * of SidecarCore runs Begin, one handler and Finish.
 */
class SidecarCore::Impl
{
public:
  explicit Impl(SidecarOptions aOptions);

  void Begin(Millis aNow);
  /** Grants what fits and returns the collected actions. */
  SidecarActions Finish();

  void OnMessage(const EntryId& aEntry, EntryMessage aMessage);
  void OnEntryDown(const EntryId& aEntry);
  void OnCall(CallEvent aEvent);
  void OnTick();
  void Drain();
  void Undrain();
  bool Idle() const;
  Millis NextWake() const;
  Load CurrentLoad() const;
  std::string DumpState(Millis aNow) const;

  uint64_t mPolicyVersion = 0;

private:
  struct Entry
  {
    bool mConnected = false;
    /** It fell silent; its messages are ignored until its next Hello. */
    bool mSilenced = false;
    Millis mLastReceivedAt{};
    std::unordered_set<AttemptKey> mAttempts;
  };

  void Handle(const EntryId& aEntry, const Hello& aHello);
  void Handle(const EntryId& aEntry, const Offer& aOffer);
  void Handle(const EntryId& aEntry, const Withdraw& aWithdraw);
  void Handle(const EntryId& aEntry, Start& aStart);
  void Handle(const EntryId& aEntry, const Ack& aAck);
  void Handle(const EntryId& aEntry, const Resume& aResume);
  void Handle(const EntryId& aEntry, const VoidOrReport& aQuery);
  void Handle(const EntryId& aEntry, const EntryHeartbeat& aHeartbeat);

  void Handle(CallHead& aHead);
  void Handle(CallData& aData);
  /** Whether an attempt may hold that many bytes of its response. */
  bool MayHold(size_t aBytes) const;
  void Handle(const CallDone& aDone);
  void Handle(const CallFailed& aFailed);
  void Handle(const CallPause& aPause);

  SidecarAttempt* Find(const AttemptKey& aKey);
  /** Whether the message's attempt is unknown or belongs to the entry. */
  template<typename Message>
  bool MayAccess(const EntryId& aEntry, const Message& aMessage);
  SidecarAttempt* FindRunning(const AttemptKey& aKey);

  void RepeatOffer(SidecarAttempt& aAttempt);
  void DeclineOffer(const EntryId& aEntry,
                    const AttemptKey& aKey,
                    ErrorKind aKind,
                    Millis aRetryAfter);
  /** Removes a waiting attempt and declines it. */
  void DeclineWaiting(const AttemptKey& aKey,
                      ErrorKind aKind,
                      Millis aRetryAfter);
  AdmissionRequest AdmissionRequestFor(const Offer& aOffer) const;
  CapacityShare ShareOf(const Offer& aOffer) const;
  void Enqueue(const EntryId& aEntry, const Offer& aOffer);
  /** Makes space for the offer in the queue; false if it was declined. */
  bool MakeQueueSpace(const EntryId& aEntry, const Offer& aOffer);
  /** Declines the offer if the upstream's pause outlasts the time that it may
   * wait. */
  bool DeclineForPause(const EntryId& aEntry, const Offer& aOffer);
  /** Declines waiting requests that can't wait for the end of the pause. */
  void DeclineWaitingForPause();
  /** Whether the upstream's pause, or the slow start after it, allows a call.
   */
  bool PauseAllowsCall() const { return mPause.WaitFor(mNow) == Millis(0); }
  /**
   * Declines requests that became late and can't meet their deadline either.
   */
  void GiveUpLateRequests();
  /** Declines the waiting attempt if its deadline can't be met any more. */
  void GiveUpIfUnmeetable(const AttemptKey& aKey);
  void GrantWhatFits();
  void GrantRegularDispatches();
  void GrantFloorDispatches();
  void GrantNow(const Dispatch& aDispatch);
  /**
   * Whether to hold back a dispatch whose targets this upstream is too slow
   * for, so that another sidecar it was offered to can grant it. Only for a
   * short time, since the others may be as slow.
   */
  bool ShouldHoldBack(const Dispatch& aDispatch);
  /**
   * Cancels attempts of lower tiers if that saves the dispatch's first-token
   * target.
   */
  bool PreemptFor(const Dispatch& aDispatch);
  void SendGrant(const SidecarAttempt& aAttempt);

  /** Ensures that the attempt never starts; it must not have started. */
  void Void(SidecarAttempt& aAttempt);
  void Cancel(SidecarAttempt& aAttempt, ErrorKind aKind);
  void EndRunning(SidecarAttempt& aAttempt, const FinalMessage& aMessage);
  void FailRunning(SidecarAttempt& aAttempt, ErrorKind aKind, Ran aRan);
  /** aUsed: the tokens it actually took. */
  void ReleaseCapacity(SidecarAttempt& aAttempt, uint64_t aUsed);
  void MeasureTokens(SidecarAttempt& aAttempt, uint32_t aTokens);
  void MeasureFirstToken(const SidecarAttempt& aAttempt, Millis aDuration);
  void MeasureBetweenTokens(const SidecarAttempt& aAttempt, uint32_t aTokens);
  void GrowIfUnderestimated(SidecarAttempt& aAttempt);
  /** Replaces the capacity share of the attempt. */
  void ChangeShare(SidecarAttempt& aAttempt, const CapacityShare& aShare);
  void Erase(const AttemptKey& aKey);
  void EraseIfUnused(const EntryId& aEntry);

  /** Replies about a key that has no live attempt. */
  void AnswerFromLedger(const EntryId& aEntry, const AttemptKey& aKey);
  void ResumeFromLedger(const EntryId& aEntry, const Resume& aResume);
  void AppendChunk(SidecarAttempt& aAttempt,
                   std::string aData,
                   uint32_t aTokens);
  void SendFinalMessage(const EntryId& aEntry, const FinalMessage& aMessage);
  void Send(const EntryId& aEntry, SidecarMessage aMessage);

  void OnTimer(SidecarAttempt& aAttempt);
  void ArmRunning(const SidecarAttempt& aAttempt);
  void ArmEnded(const SidecarAttempt& aAttempt);
  void SendHeartbeats();
  void SendHeartbeat(const EntryId& aEntry);
  /** Records that the entry is alive; false if it must send Hello first. */
  bool AcceptMessage(const EntryId& aEntry, const EntryMessage& aMessage);
  /**
   * Sends the load to every entry at once, where waiting for a heartbeat would
   * be too late.
   */
  void BroadcastLoad();
  bool IsConnected(const EntryId& aEntry) const;

  SidecarOptions mOptions;
  Millis mNow;
  bool mDraining = false;
  std::unordered_map<AttemptKey, SidecarAttempt> mAttempts;
  std::unordered_map<EntryId, Entry> mEntries;
  Ledger mLedger;
  Schedule mSchedule;
  UpstreamCapacity mCapacity;
  RequestPause mPause;
  ServiceRate mRate;
  Admission mAdmission;
  PreemptionOrder mPreemption;
  StrictestTarget mStrictestFirstToken;
  StrictestTarget mStrictestBetweenTokens;
  /** When to reconsider the dispatch that was held back. */
  Millis mNextGrantAt = Millis::Never();
  Timers<AttemptKey> mTimers;
  Timers<EntryId> mHeartbeats;
  SidecarCounters mCounters;
  SidecarActions mActions;
};

} // namespace trefoilarch
