#pragma once

#include "crashevidence.h"
#include "crashupdate.h"
#include "millis.h"
#include "recentanswers.h"
#include "requestfingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** When a request is held back. */
struct QuarantineOptions
{
  /** Upstreams that crashed under it. */
  size_t mCrashThreshold = 3;
  /** The same for one that had whole answers lately: one that is asked often
   * is at many crashes that it is not the cause of. */
  size_t mAnsweredCrashThreshold = 6;
  /** What other entries saw of the last crash has come by then: another
   * request may explain it. */
  Millis mSettleDelay{ 300 };
  /** A suspect that is on its way keeps its repeats waiting for so long: the
   * first after one crash, which many requests are at by chance. */
  Millis mFirstProbeTimeout{ 1000 };
  Millis mProbeTimeout{ 1500 };
  /** One whose crashes may have been another such request's is tried once more,
   * after so long and when no upstream has crashed for so long. */
  Millis mUncertainProbeDelay{ 1000 };
  Millis mCrashFreeInterval{ 700 };
  /** It is let go when no caller has sent it for so long. */
  Millis mIdleTimeout{ 3600000 };
  /** Requests that are held back at most; the one that was sent the longest
   * ago goes first. */
  size_t mMaxHeld = 1024;
  CrashEvidenceOptions mEvidence;
};

/** What may become of a request now. */
enum class QuarantineVerdict : uint8_t
{
  Run,
  /** It is like a suspect that is on its way, whose fate is awaited. */
  Wait,
  /** It is not run. */
  Refuse,
};

/** A request that is held back. */
struct QuarantinedRequest
{
  RequestFingerprint mRequest;
  /** The first crash that speaks against it. */
  Millis mSuspectSince;
  Millis mLastSent;
  /** When it may be tried once more. */
  Millis mProbeAt = Millis::Never();
  /** Under which it crashed; empty where other entries found it. */
  std::vector<UpstreamIncarnation> mCrashes;
};

/** A change in what is held back, for the log. */
struct QuarantineChange
{
  RequestFingerprint mRequest;
  bool mHeld = false;
  const char* mReason = "";
  std::vector<UpstreamIncarnation> mCrashes;
};

/**
 * Keeps requests that crash every upstream that runs them ("poison requests")
 * from the fleet. A request is a suspect while a crash counts against it: its
 * repeats then run one at a time, as each may cost an upstream. After
 * mCrashThreshold it is in quarantine. What one entry learns all others hear,
 * and any of it may be lost: nothing waits for another entry's word.
 */
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  /** The request has waited for so long already. */
  QuarantineVerdict Admit(const RequestFingerprint& aRequest,
                          Millis aWaited,
                          Millis aNow);

  /** An attempt goes out; each is ended by OnAttemptEnded. */
  void OnSent(const RequestFingerprint& aRequest, Millis aNow);
  void OnAttemptEnded(const RequestFingerprint& aRequest);
  /** Its answer is whole: it does not crash who runs it. */
  void OnAnswered(const RequestFingerprint& aRequest, Millis aNow);
  /** An upstream crashed, and these requests broke with it here. */
  void OnCrash(const UpstreamIncarnation& aStart,
               const std::vector<RequestFingerprint>& aSuspects,
               Millis aNow);

  /** Holds it back on the word of the fleet's store. */
  void OnStoreHold(const RequestFingerprint& aRequest, Millis aNow);
  /** The store says that it was let go. */
  void OnStoreRelease(const RequestFingerprint& aRequest, Millis aNow);
  /** An operator lets it go; all that speaks against it is void. */
  void Release(const RequestFingerprint& aRequest, Millis aNow);

  /** Something has to be told at once. */
  bool HasUpdate() const { return !mNews.IsEmpty(); }
  /** What is to be told, in messages of a bounded size; what is recent or in
   * force is told again where aAgain. */
  std::vector<CrashUpdate> TakeUpdates(bool aAgain, Millis aNow);
  void OnUpdate(const CrashUpdate& aNews, Millis aNow);
  /** Passes on what others tell, where not all entries hear each other. */
  void SetRelays(bool aRelays) { mRelays = aRelays; }

  /** Decides what has settled and forgets what is old; a few times a second. */
  void Tick(Millis aNow);

  bool IsQuarantined(const RequestFingerprint& aRequest) const
  {
    return mHeld.contains(aRequest);
  }
  /** It was held back or suspected, and is innocent as far as is known. */
  bool IsReleased(const RequestFingerprint& aRequest) const;
  std::vector<RequestFingerprint> Requests() const;
  /** How long it is held back if nobody sends it any more. */
  Millis IdleTimeout() const { return mOptions.mIdleTimeout; }
  std::vector<QuarantinedRequest> Quarantined() const;
  std::vector<QuarantineChange> TakeChanges();

private:
  struct Open
  {
    uint32_t mCount = 0;
    Millis mLastSent;
  };
  struct Told
  {
    CrashReport mReport;
    Millis mAt;
  };

  bool IsSuspect(const RequestFingerprint& aRequest) const;
  /** Whether others have to hear of its attempts and answers. */
  bool IsWorthTelling(const RequestFingerprint& aRequest) const;
  /** Passes on all crashes of suspects that were at several. */
  void Relay(const std::vector<RequestFingerprint>& aSuspects, Millis aNow);
  /** When this entry last had a whole answer to it, or let it go; 0 for never
   * or long ago. */
  Millis InnocentAt(const RequestFingerprint& aRequest) const;
  /** Another entry believes what was void here at that instant. */
  void TellCleared(const RequestFingerprint& aRequest, Millis aNow);
  /**
   * Crashes that count against it. Many requests break with a crash and one of
   * them is its cause: the one that is held back already, or else was at the
   * most crashes.
   */
  size_t CrashesOf(const RequestFingerprint& aRequest) const;
  /** Those of them at which no other was that was at as many. */
  size_t CrashesAlone(const RequestFingerprint& aRequest) const;
  /** Enough crashes count against it. */
  bool IsCulprit(const RequestFingerprint& aRequest) const;
  void AddEvidence(const CrashReport& aReport, Millis aAt, Millis aNow);
  void TakeReport(const CrashReport& aReport, Millis aNow);
  void TakeCleared(const AgedRequest& aCleared, Millis aNow);
  void TakeTrial(const RequestFingerprint& aRequest, Millis aNow);
  void TakeHeld(const QuarantineReport& aHeld, Millis aNow);
  /** Whether a held one is tried once more now, by this entry. */
  bool TakesTrial(QuarantinedRequest& aHeld, Millis aNow) const;
  bool IsOnItsWay(const RequestFingerprint& aRequest, Millis aNow) const;
  QuarantineReport ReportOf(const QuarantinedRequest& aHeld, Millis aNow) const;
  void Clear(const RequestFingerprint& aRequest, Millis aAt, const char* aWhy);
  /** The times are those of the word, if it is another entry's. */
  void Put(const QuarantinedRequest& aHeld, const char* aWhy);
  /** Culprits of which all is known, the surest first. */
  std::vector<RequestFingerprint> TakeSettled(Millis aNow);
  void DropIdle(Millis aNow);
  void Repeat(Millis aNow);

  QuarantineOptions mOptions;
  CrashEvidence mEvidence;
  /** Attempts of this entry that are under way. */
  std::unordered_map<RequestFingerprint, Open> mOpen;
  /** When another entry last sent the suspect. */
  std::unordered_map<RequestFingerprint, Millis> mKeepaliveProbes;
  /** Culprits, and when the last crash was heard of. */
  std::map<RequestFingerprint, Millis> mSettling;
  std::map<RequestFingerprint, QuarantinedRequest> mHeld;
  CrashUpdate mNews;
  /** Reports of this entry that others may have missed. */
  std::vector<Told> mRecent;
  /** Requests that were let go, and when: an older word that they are held
   * back counts no more. */
  std::unordered_map<RequestFingerprint, Millis> mCleared;
  /** Here, and at entries that told of it. */
  RecentAnswers mAnswers;
  std::unordered_map<RequestFingerprint, Millis> mClearedToldAt;
  std::vector<QuarantineChange> mChanges;
  Millis mHeldToldAt;
  /** The newest crash that was heard of. */
  Millis mCrashAt;
  bool mRelays = false;
};

} // namespace trefoilarch
