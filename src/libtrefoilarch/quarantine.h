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

/** Conditions under which a request is quarantined. */
struct QuarantineOptions
{
  /** Crashed upstreams from which it is quarantined. */
  size_t mCrashThreshold = 3;
  /** The same for a request with recent complete responses. A frequent request
   * is present at many crashes that it did not cause. */
  size_t mAnsweredCrashThreshold = 6;
  /** The reports of other entries on the last crash arrive within this time.
   * They may show that another request explains it. */
  Millis mSettleDelay{ 300 };
  /** Repeats of a suspect wait at most this long for an attempt in progress.
   * The first value applies after one crash, at which many requests are present
   * at random. */
  Millis mFirstProbeTimeout{ 1000 };
  Millis mProbeTimeout{ 1500 };
  /** A request whose crashes may be due to another quarantined one is probed
   * once more: after this delay, and if no upstream has crashed during the
   * interval. */
  Millis mUncertainProbeDelay{ 1000 };
  Millis mCrashFreeInterval{ 700 };
  /** It is released if no caller has sent it for this long. */
  Millis mIdleTimeout{ 3600000 };
  /** Maximum number of quarantined requests. The one least recently sent is
   * released first. */
  size_t mMaxHeld = 1024;
  CrashEvidenceOptions mEvidence;
};

/** Decision on a request. */
enum class QuarantineVerdict : uint8_t
{
  Run,
  /** The same request is a suspect in progress; wait for its outcome. */
  Wait,
  Refuse,
};

/** A quarantined request. */
struct QuarantinedRequest
{
  RequestFingerprint mRequest;
  /** Time of the first crash attributed to it. */
  Millis mSuspectSince;
  Millis mLastSent;
  /** When it may be probed once more. */
  Millis mProbeAt = Millis::Never();
  /** Incarnations that it crashed. Empty if other entries quarantined it. */
  std::vector<UpstreamIncarnation> mCrashes;
};

/** A quarantined or released request, for the log. */
struct QuarantineChange
{
  RequestFingerprint mRequest;
  bool mHeld = false;
  const char* mReason = "";
  std::vector<UpstreamIncarnation> mCrashes;
};

/**
 * Keeps requests that crash every upstream that runs them ("poison requests")
 * from the fleet. A request is a suspect while a crash is attributed to it. Its
 * repeats then run one at a time, since each may cost an upstream. After
 * mCrashThreshold crashes it is quarantined. Entries report their findings to
 * each other. Any report may be lost, and no entry waits for another one's
 * report.
 */
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  /** aWaited is how long the request has waited already. */
  QuarantineVerdict Admit(const RequestFingerprint& aRequest,
                          Millis aWaited,
                          Millis aNow);

  /** An attempt was sent. OnAttemptEnded must follow. */
  void OnSent(const RequestFingerprint& aRequest, Millis aNow);
  void OnAttemptEnded(const RequestFingerprint& aRequest);
  /** It got a complete response, so it does not crash upstreams. */
  void OnAnswered(const RequestFingerprint& aRequest, Millis aNow);
  /** An upstream crashed, and these requests failed with it at this entry. */
  void OnCrash(const UpstreamIncarnation& aIncarnation,
               const std::vector<RequestFingerprint>& aSuspects,
               Millis aNow);

  /** The store lists the request as quarantined. */
  void OnStoreHold(const RequestFingerprint& aRequest, Millis aNow);
  /** The store lists the request as released. */
  void OnStoreRelease(const RequestFingerprint& aRequest, Millis aNow);
  /** An operator releases it. All evidence against it is discarded. */
  void Release(const RequestFingerprint& aRequest, Millis aNow);

  /** Whether there is something to send at once. */
  bool HasUpdate() const { return !mPendingUpdate.IsEmpty(); }
  /** Returns what is to be sent, in messages of a bounded size. If aRepeat is
   * set, recent reports and quarantined requests are included again. */
  std::vector<CrashUpdate> TakeUpdates(bool aRepeat, Millis aNow);
  void OnUpdate(const CrashUpdate& aUpdate, Millis aNow);
  /** Sets whether reports of peers are forwarded, for fleets in which not all
   * entries send to each other. */
  void SetRelays(bool aRelays) { mRelays = aRelays; }

  /** Takes due decisions and removes old state; to be called a few times a
   * second. */
  void Tick(Millis aNow);

  bool IsQuarantined(const RequestFingerprint& aRequest) const
  {
    return mQuarantinedRequests.contains(aRequest);
  }
  /** Whether it was quarantined or suspected and has been cleared since. */
  bool IsReleased(const RequestFingerprint& aRequest) const;
  std::vector<RequestFingerprint> Requests() const;
  /** How long a request stays quarantined if no caller sends it. */
  Millis IdleTimeout() const { return mOptions.mIdleTimeout; }
  std::vector<QuarantinedRequest> Quarantined() const;
  std::vector<QuarantineChange> TakeChanges();

private:
  struct OpenAttempts
  {
    uint32_t mCount = 0;
    Millis mLastSent;
  };
  struct SentReport
  {
    CrashReport mReport;
    Millis mCrashedAt;
  };

  bool IsSuspect(const RequestFingerprint& aRequest) const;
  /** Whether its attempts and responses have to be reported to peers. */
  bool IsWorthReporting(const RequestFingerprint& aRequest) const;
  /** Forwards all crashes of suspects with several crashes. */
  void Relay(const std::vector<RequestFingerprint>& aSuspects, Millis aNow);
  /** When this entry last got a complete response to it or released it. 0 if
   * never or long ago. */
  Millis LastClearedAt(const RequestFingerprint& aRequest) const;
  /** Another entry holds evidence that was void here then. */
  void ReportCleared(const RequestFingerprint& aRequest, Millis aNow);
  /**
   * Crashes attributed to it. Many requests fail in a crash and one is its
   * cause: the one already quarantined, or else the one with the most crashes.
   */
  size_t AttributedCrashes(const RequestFingerprint& aRequest) const;
  /** Those of them without another request that has as many. */
  size_t UnambiguousCrashes(const RequestFingerprint& aRequest) const;
  /** Whether enough crashes are attributed to it. */
  bool IsCulprit(const RequestFingerprint& aRequest) const;
  void AddEvidence(const CrashReport& aReport, Millis aAt, Millis aNow);
  void TakeReport(const CrashReport& aReport, Millis aNow);
  void TakeCleared(const AgedRequest& aCleared, Millis aNow);
  void TakeProbe(const RequestFingerprint& aRequest, Millis aNow);
  void TakeQuarantined(const QuarantineReport& aQuarantined, Millis aNow);
  /** Whether this entry probes a quarantined request now. */
  bool StartsProbe(QuarantinedRequest& aQuarantined, Millis aNow) const;
  bool IsProbeRunning(const RequestFingerprint& aRequest, Millis aNow) const;
  QuarantineReport ReportOf(const QuarantinedRequest& aQuarantined,
                            Millis aNow) const;
  void Clear(const RequestFingerprint& aRequest,
             Millis aAt,
             const char* aReason);
  /** The times are those of the report if it is another entry's. */
  void AddToQuarantine(const QuarantinedRequest& aQuarantined,
                       const char* aReason);
  /** Culprits whose reports have arrived, the most certain first. */
  std::vector<RequestFingerprint> TakeSettled(Millis aNow);
  void ReleaseIdle(Millis aNow);
  void RepeatReports(Millis aNow);

  QuarantineOptions mOptions;
  CrashEvidence mEvidence;
  /** Attempts of this entry in progress. */
  std::unordered_map<RequestFingerprint, OpenAttempts> mOpenAttempts;
  /** When another entry last sent each suspect. */
  std::unordered_map<RequestFingerprint, Millis> mProbes;
  /** Culprits, and when their last crash was reported. */
  std::map<RequestFingerprint, Millis> mSettling;
  std::map<RequestFingerprint, QuarantinedRequest> mQuarantinedRequests;
  CrashUpdate mPendingUpdate;
  /** Reports of this entry that peers may have missed. */
  std::vector<SentReport> mRecentReports;
  /** Requests that were released, and when. Older reports that they are
   * quarantined are ignored. */
  std::unordered_map<RequestFingerprint, Millis> mCleared;
  /** Responses at this entry and at those that reported one. */
  RecentAnswers mAnswers;
  std::unordered_map<RequestFingerprint, Millis> mClearedReportedAt;
  std::vector<QuarantineChange> mChanges;
  Millis mQuarantineReportedAt;
  /** Time of the latest known crash. */
  Millis mLastCrashAt;
  bool mRelays = false;
};

} // namespace trefoilarch
