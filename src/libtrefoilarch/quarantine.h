#pragma once

#include "crashevidence.h"
#include "crashupdate.h"
#include "millis.h"
#include "recentanswers.h"
#include "requestfeatures.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
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
  /** The same for a prompt segment. Crashes with less than mSegmentSpacing
   * between them count as one: upstreams that fail together run many requests
   * with it. */
  size_t mSegmentThreshold = 4;
  size_t mAnsweredSegmentThreshold = 5;
  Millis mSegmentSpacing{ 50 };
  /** The reports of other entries on the last crash arrive within this time.
   * They may show that another request explains it. */
  Millis mSettleDelay{ 300 };
  /** The same for a segment if another one was at all of its crashes. A request
   * with only one of the two may show which one is the cause. */
  Millis mAmbiguityDelay{ 1000 };
  /** Repeats of a suspect wait at most this long for an attempt in progress.
   * The first value applies after one crash, at which many requests are present
   * at random. */
  Millis mFirstProbeTimeout{ 1000 };
  Millis mProbeTimeout{ 1500 };
  /** A request whose crashes may be due to another quarantined one is probed
   * once more: after this delay, and if no upstream has crashed during the
   * interval. So is a segment, by a request without other suspects. */
  Millis mUncertainProbeDelay{ 1000 };
  /** Segments are probed at a random time, later by up to this for each entry,
   * so that rarely more than one entry does it. */
  Millis mProbeJitterPerEntry{ 50 };
  /** If the outcome of a segment's probe is not known by then, it is probed
   * once more. */
  Millis mProbeRepeatDelay{ 10000 };
  Millis mCrashFreeInterval{ 700 };
  /** It is released if no caller has sent it for this long. */
  Millis mIdleTimeout{ 3600000 };
  /** Maximum number of quarantined requests. The one least recently sent is
   * released first. */
  size_t mMaxHeld = 1024;
  CrashEvidenceOptions mEvidence;
  uint64_t mSeed = 1;
};

/** Decision on a request. */
enum class QuarantineVerdict : uint8_t
{
  Run,
  /** The same request is a suspect in progress; wait for its outcome. */
  Wait,
  Refuse,
};

/** A quarantined request or prompt segment. */
struct QuarantinedRequest
{
  RequestFingerprint mRequest;
  /** Time of the first of the crashes that suffice. */
  Millis mSuspectSince;
  Millis mLastSent;
  /** When it may be probed once more. */
  Millis mProbeAt = Millis::Never();
  /** Probes of a segment since, by all entries. */
  uint32_t mProbes = 0;
  /** When this entry last reported it to one that seemed not to know. */
  Millis mReportedAt;
  /** Incarnations that it crashed. Empty if other entries quarantined it. */
  std::vector<UpstreamIncarnation> mCrashes;
};

/** A quarantined or released request or segment, for the log. */
struct QuarantineChange
{
  RequestFingerprint mRequest;
  bool mHeld = false;
  const char* mReason = "";
  std::vector<UpstreamIncarnation> mCrashes;
};

/**
 * Keeps requests that crash every upstream that runs them ("poison requests")
 * from the fleet. The cause may be the whole request or a prompt segment that
 * others share. Both are features of the request, with one body of evidence.
 *
 * A request is a suspect while a crash is attributed to it. Its repeats then
 * run one at a time, since each may cost an upstream. Requests that share a
 * suspected segment don't wait for each other: a complete response to any of
 * them clears it. After enough crashes without one, a feature is quarantined,
 * and requests that have it are rejected. Entries report their findings to each
 * other. Any report may be lost, and no entry waits for another one's report.
 */
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {});

  /** aWaited is how long the request has waited already. */
  QuarantineVerdict Admit(const RequestFeatures& aRequest,
                          Millis aWaited,
                          Millis aNow);

  /** An attempt was sent. OnAttemptEnded must follow. */
  void OnSent(const RequestFeatures& aRequest, Millis aNow);
  void OnAttemptEnded(const RequestFeatures& aRequest);
  /** It got a complete response, so none of its features crashes upstreams. */
  void OnAnswered(const RequestFeatures& aRequest, Millis aNow);
  /** An upstream crashed, and requests with these features failed with it at
   * this entry. */
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
  void SetEntries(size_t aEntries) { mEntries = aEntries; }

  /** Takes due decisions and removes old state; to be called a few times a
   * second. */
  void Tick(Millis aNow);

  bool IsQuarantined(const RequestFingerprint& aRequest) const
  {
    return mQuarantinedRequests.contains(aRequest);
  }
  /** The first feature of the request that is quarantined, or null. */
  const RequestFingerprint* QuarantinedFeature(
    const RequestFeatures& aRequest) const;
  /** When a caller may retry a request that was refused: at the next probe of a
   * segment, if there will be one. */
  Millis RetryDelay(const RequestFeatures& aRequest, Millis aNow) const;
  /** Whether it was quarantined here and has been released since. */
  bool IsReleased(const RequestFingerprint& aRequest) const;
  std::vector<RequestFingerprint> Requests() const;
  /** How long a request stays quarantined if no caller sends it. */
  Millis IdleTimeout() const { return mOptions.mIdleTimeout; }
  std::vector<QuarantinedRequest> Quarantined() const;
  std::vector<QuarantineChange> TakeChanges();

private:
  /** Each crash has many suspects. A large fleet receives reports only of those
   * with at least this many crashes. */
  static constexpr size_t kMinRelayedCrashes = 2;
  /** Bounds what a wave of crashes costs a large fleet. */
  static constexpr size_t kMaxRelays = 8;

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

  /** The decision on its quarantined features; empty if there are none. */
  std::optional<QuarantineVerdict> AdmitQuarantined(
    const RequestFeatures& aRequest,
    Millis aNow);
  QuarantineVerdict AdmitContent(const RequestFingerprint& aRequest,
                                 Millis aWaited,
                                 Millis aNow);
  QuarantineVerdict AdmitSegment(const RequestFingerprint& aSegment,
                                 const RequestFeatures& aRequest,
                                 Millis aNow);
  bool IsSuspect(const RequestFingerprint& aRequest) const;
  /** Whether its attempts and responses have to be reported to peers. */
  bool IsWorthReporting(const RequestFingerprint& aRequest) const;
  /** Forwards the crash of suspects with several crashes. */
  void Relay(const CrashReport& aReport, Millis aNow);
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
  bool IsSegmentCulprit(const RequestFingerprint& aSegment) const;
  /** Number of the segment's crashes that no other suspect explains. A segment
   * that was at more crashes does, or at as many if aWithEqual. Segments of
   * aRequest don't: it has them all. */
  size_t SegmentCrashes(const RequestFingerprint& aSegment,
                        const RequestFeatures& aRequest,
                        bool aWithEqual) const;
  /** The first of the crashes that suffice for its quarantine. A response after
   * it voids the quarantine. */
  Millis SuspectSince(const RequestFingerprint& aFeature) const;
  size_t SegmentThreshold(const RequestFingerprint& aSegment) const;
  Millis SettleDelayOf(const RequestFingerprint& aRequest) const;
  RecentAnswers& AnswersOf(const RequestFingerprint& aFeature);
  const RecentAnswers& AnswersOf(const RequestFingerprint& aFeature) const;
  void AddEvidence(const CrashReport& aReport, Millis aAt, Millis aNow);
  void TakeReport(const CrashReport& aReport, Millis aNow);
  void TakeCleared(const AgedRequest& aCleared, Millis aNow);
  /** Whether the crashes after the response suffice. */
  bool StaysQuarantined(QuarantinedRequest& aQuarantined, Millis aClearedAt);
  void TakeProbe(const RequestFingerprint& aRequest, Millis aNow);
  void TakeQuarantined(const QuarantineReport& aQuarantined, Millis aNow);
  /** Whether this entry probes a quarantined request now. */
  bool StartsProbe(QuarantinedRequest& aQuarantined,
                   const RequestFeatures& aRequest,
                   Millis aNow);
  /** Whether a request can show if the quarantined segment is the cause. */
  bool IsSegmentProbe(const RequestFingerprint& aSegment,
                      const RequestFeatures& aRequest) const;
  /** A quarantined feature was at another crash. */
  void OnCrashOfQuarantined(QuarantinedRequest& aQuarantined);
  /** Whether another segment may be the cause of most of its crashes. */
  bool HasRival(const RequestFingerprint& aSegment) const;
  /** An entry probes a quarantined feature. */
  void OnProbe(QuarantinedRequest& aQuarantined, Millis aNow);
  Millis ProbeDelay(const RequestFingerprint& aFeature);
  /** Reports it to an entry that sends it, but not with every message. */
  void ReportQuarantined(QuarantinedRequest& aQuarantined, Millis aNow);
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
  /** Culprits, and when their last crash was reported. Of a segment, when it
   * became one: other requests with it go on. */
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
  RecentAnswers mSegmentAnswers;
  std::unordered_map<RequestFingerprint, Millis> mClearedReportedAt;
  std::vector<QuarantineChange> mChanges;
  Millis mQuarantineReportedAt;
  /** Time of the latest known crash. */
  Millis mLastCrashAt;
  bool mRelays = false;
  /** Numbers of reports on requests and on segments that this entry may still
   * relay before it repeats its own. */
  size_t mContentRelays = kMaxRelays;
  size_t mSegmentRelays = kMaxRelays;
  size_t mEntries = 1;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
