#pragma once

#include "attempt.h"
#include "ledger.h"
#include "room.h"
#include "schedule.h"
#include "sidecarcore.h"
#include "timers.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace trefoilarch {

/** What a SidecarCore has counted since its start. */
struct SidecarCounters
{
  uint64_t mOffered = 0;
  uint64_t mGranted = 0;
  uint64_t mStarted = 0;
  uint64_t mFinished = 0;
  uint64_t mFailed = 0;
  uint64_t mVoided = 0;
  uint64_t mDeclined = 0;
  uint64_t mLateStarts = 0;  /**< Starts that came after the grant's end */
  uint64_t mStrayEvents = 0; /**< call events of attempts that are over */
  uint64_t mForeign = 0;     /**< messages on another entry's attempt */
};

/**
 * The state behind a SidecarCore. Handlers append what is to be done to
 * mActions; each public call of SidecarCore is one Begin, one handler and one
 * Finish.
 */
class SidecarCore::Impl
{
public:
  explicit Impl(SidecarOptions aOptions);

  void Begin(Millis aNow);
  /** Grants what has room, and hands out the collected actions. */
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
    std::unordered_set<AttemptKey> mAttempts;
  };

  void Handle(const EntryId& aEntry, const Hello& aHello);
  void Handle(const EntryId& aEntry, const Offer& aOffer);
  void Handle(const EntryId& aEntry, const Withdraw& aWithdraw);
  void Handle(const EntryId& aEntry, Start& aStart);
  void Handle(const EntryId& aEntry, const Ack& aAck);
  void Handle(const EntryId& aEntry, const Resume& aResume);
  void Handle(const EntryId& aEntry, const VoidOrReport& aAsk);
  void Handle(const EntryId& aEntry, const EntryHeartbeat& aHeartbeat);

  void Handle(CallHead& aHead);
  void Handle(CallData& aData);
  void Handle(const CallDone& aDone);
  void Handle(const CallFailed& aFailed);

  Attempt* Find(const AttemptKey& aKey);
  /** Whether the message's attempt is the entry's own, or nobody's. */
  template<typename Message>
  bool MayTouch(const EntryId& aEntry, const Message& aMessage);
  Attempt* FindRunning(const AttemptKey& aKey);

  void RepeatOffer(Attempt& aAttempt);
  void DeclineOffer(const EntryId& aEntry,
                    const AttemptKey& aKey,
                    ErrorKind aKind,
                    Millis aRetryAfter);
  /** Takes a waiting attempt out for good. */
  void DeclineWaiting(const AttemptKey& aKey,
                      ErrorKind aKind,
                      Millis aRetryAfter);
  void GrantWhatFits();
  void GrantNow(Attempt& aAttempt);
  void SendGrant(const Attempt& aAttempt);

  /** Rules out that the attempt starts; it must not have started. */
  void Void(Attempt& aAttempt);
  void Cancel(Attempt& aAttempt, ErrorKind aKind);
  void EndRunning(Attempt& aAttempt, const FinalWord& aWord);
  void FailRunning(Attempt& aAttempt, ErrorKind aKind, Ran aRan);
  void ReleaseRoom(Attempt& aAttempt);
  void Erase(const AttemptKey& aKey);
  void ForgetIfGone(const EntryId& aEntry);

  /** Answers on a key that has no live attempt. */
  void AnswerFromLedger(const EntryId& aEntry, const AttemptKey& aKey);
  void ResumeFromLedger(const EntryId& aEntry, const Resume& aResume);
  void AppendChunk(Attempt& aAttempt, std::string aData, uint32_t aTokens);
  void SendFinalWord(const EntryId& aEntry, const FinalWord& aWord);
  void Send(const EntryId& aEntry, SidecarMessage aMessage);

  void OnTimer(Attempt& aAttempt);
  void ArmRunning(const Attempt& aAttempt);
  void ArmEnded(const Attempt& aAttempt);
  void SendHeartbeats();
  /** Tells every entry at once, where waiting for a heartbeat is too late. */
  void TellLoad();
  bool IsConnected(const EntryId& aEntry) const;

  SidecarOptions mOptions;
  Millis mNow;
  bool mDraining = false;
  std::unordered_map<AttemptKey, Attempt> mAttempts;
  std::unordered_map<EntryId, Entry> mEntries;
  Ledger mLedger;
  Schedule mSchedule;
  Room mRoom;
  Timers<AttemptKey> mTimers;
  Timers<EntryId> mHeartbeats;
  SidecarCounters mCounters;
  SidecarActions mActions;
};

} // namespace trefoilarch
