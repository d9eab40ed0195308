#pragma once

#include "arrivalrate.h"
#include "crashdetector.h"
#include "dedicatedpools.h"
#include "engineadmission.h"
#include "enginemodel.h"
#include "errors.h"
#include "freshness.h"
#include "outlierdetector.h"
#include "pauserecord.h"
#include "peersilence.h"
#include "peerwork.h"
#include "permitissuer.h"
#include "permitrequester.h"
#include "prompt.h"
#include "quarantine.h"
#include "requestfingerprint.h"
#include "retrybudget.h"
#include "routeindex.h"
#include "sharedsegmentdetector.h"
#include "startmeter.h"
#include "tierguard.h"
#include "upstreamdirectory.h"
#include "upstreamlimits.h"
#include "workplacement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** How a DirectRouter decides; times in milliseconds. */
struct DirectRouterOptions
{
  std::string mDataCentre;
  /** A keyed request is taken only while the policy was confirmed within
   * this span: a key that was revoked is honoured no longer than that. */
  Millis mKeyPolicyMaxAge{ 4500 };
  /** Without a confirmation for this long, an unknown route or key is not
   * called unknown: the policy may have been changed. */
  Millis mPolicyMaxAge{ 3000 };
  /** An upstream's connections are shared among entries; this entry takes
   * one in so many at the most. */
  uint32_t mConnectionShare = 6;
  RetryBudgetOptions mRetries{ .mPercent = 15, .mInitial = 2, .mMax = 5 };
  OutlierOptions mOutliers{ .mFailuresInRow = 3,
                            .mFailureShare = 0.3,
                            .mMinResults = 10,
                            .mSlowFactor = 4,
                            .mSlowMargin = Millis(400),
                            .mInitialEjection = Millis(1500),
                            .mMaxEjection = Millis(6000),
                            .mMaxEjectedShare = 0.5 };
  /** This entry's name to others. */
  std::string mName;
  /** See WorkPlacementOptions::mCost. */
  PlacementCost mPlacementCost;
  QuarantineOptions mQuarantine;
  DirectoryOptions mDirectory;
  /** There is news of crashes that others should hear at once, or something to
   * be logged. */
  std::function<void()> mOnCrashUpdate = [] {};
  /** An upstream's rate limit began, changed or ended. */
  std::function<void(const LimitChange&)> mOnLimitChange =
    [](const LimitChange&) {};
  /** Sends an ask for a permit to another entry. */
  std::function<void(const AddressedPermitRequest&)> mOnPermitRequest =
    [](const AddressedPermitRequest&) {};
  uint64_t mSeed = 1;
};

/** What a caller's request says of itself; views into the request. */
struct RequestAttributes
{
  std::string_view mHost;
  std::string_view mPath;
  std::string mKey;
  /** When its first byte came. */
  Millis mArrivedAt;
  /** How long the caller will wait, from its arrival. */
  std::optional<Millis> mCallerTimeout;
  PromptShape mPrompt;
};

/** A request with what the policy gives it. It keeps its policy alive. */
struct BoundRequest
{
  std::shared_ptr<const RouteIndex> mIndex;
  const Route* mRoute = nullptr;
  std::string mService;
  /** Empty on a public route. */
  std::string mWorkspace;
  std::string mKey;
  /** The workspace's, or else the route's. */
  uint8_t mPriority = 0;
  /** The route's own, between requests of the same priority. */
  uint8_t mRoutePriority = 0;
  PromptShape mPrompt;
  /** Zero where the caller of Bind() sets none: then nothing is told of
   * crashes under it. */
  RequestFingerprint mFingerprint;
  Millis mArrivedAt;
  /** The caller's deadline or the route's timeout, whichever is first. */
  Millis mDeadline;
};

/** What a request that is to be placed may wait for. */
struct PermitWait
{
  /** Whether a permit may be asked for. */
  bool mMayRequest = true;
  /** The upstream for which this request has asked for a permit, or empty. */
  UpstreamId mUpstream;
  /** Set where some that could take the request have reached their limits, and
   * no other can: when there may be room. */
  std::optional<Millis> mCapacityIn;
};

/** An attempt at an upstream, to be handed back when it ends. */
struct PlacedAttempt
{
  UpstreamId mUpstream;
  /** The start of the upstream that it was meant for. */
  uint64_t mIncarnationNumber = 0;
  RequestFingerprint mFingerprint;
  std::string mService;
  std::string mRoute;
  std::string mAddress;
  AttemptWork mWork;
  /** What the engine had to read, as it was known when this was sent. */
  PrefillBacklog mPrefillBacklog;
  /** Empty, or the address of an upstream that holds more of the prompt. */
  std::string mHolderAddress;
  /** Empty, or an upstream that keeps a copy of the running request. */
  UpstreamId mBackup;
  uint64_t mBackupIncarnationNumber = 0;
  std::string mBackupAddress;
  /** Empty, or the address of the upstream that ran the request before and
   * left a copy of it at this one. */
  std::string mCopySourceAddress;
  Millis mSentAt;
  Millis mStartedAt;
  bool mStarted = false;
  /** Whether a whole answer clears its request of the suspicion that it crashes
   * upstreams. */
  bool mProvesHarmless = true;
};

/** An upstream's process that ended with requests under way. */
struct UpstreamCrash
{
  UpstreamIncarnation mIncarnation;
  /** What showed it. */
  const char* mReason = "";
  /** The requests of this entry that broke with it. */
  std::vector<RequestFingerprint> mSuspects;
};

/** How an attempt ended. */
enum class AttemptOutcome : uint8_t
{
  Good,        /**< a whole answer */
  Refused,     /**< the upstream said that it did not run */
  Failed,      /**< the upstream answered with a failure of its own */
  Unreachable, /**< no connection; nothing was sent */
  Broken,      /**< the connection broke, or what came was no answer */
  Withdrawn,   /**< we ended it: the caller left or the time was up */
};

/**
 * All of an entry's decisions about requests that go straight to upstreams:
 * which route, workspace and upstream, how fresh the policy has to be, and
 * what may be tried again. Single-threaded and free of I/O.
 */
class DirectRouter
{
public:
  explicit DirectRouter(DirectRouterOptions aOptions);

  /** Takes a policy; an older version than the current one is ignored. */
  bool SetPolicy(std::shared_ptr<const RoutePolicy> aPolicy);
  /** The current policy was the newest at that instant. */
  void ConfirmPolicy(Millis aAt) { mPolicyFreshness.Confirm(aAt); }
  /** Null before the first. */
  const std::shared_ptr<const RouteIndex>& Index() const { return mIndex; }
  const Freshness& PolicyFreshness() const { return mPolicyFreshness; }
  /** The list of upstreams was the newest at that instant. */
  void ConfirmList(Millis aAt) { mListFreshness.Confirm(aAt); }
  const Freshness& ListFreshness() const { return mListFreshness; }

  UpstreamDirectory& Directory() { return mDirectory; }
  const UpstreamDirectory& Directory() const { return mDirectory; }
  /**
   * To be called after each change of the directory. Returns the upstreams
   * that have started again under their ids: whatever was known of them is
   * forgotten.
   */
  std::vector<UpstreamId> OnDirectoryChanged(Millis aNow);

  /**
   * Fails with PolicyUnknown, PolicyStale, UnknownRoute, BadToken, or Shed
   * where the request would start too late.
   */
  Result<BoundRequest> Bind(const RequestAttributes& aFacts, Millis aNow);

  /** Whether its key may still be honoured; to be asked before each send. */
  bool StillAllowed(const BoundRequest& aRequest, Millis aNow) const;

  /** Whether the upstream that was chosen is still there and takes requests. */
  bool TakesWork(const PlacedAttempt& aAttempt) const;

  /** Chooses an upstream and counts the attempt, or says there is none: at
   * all, or before a permit comes that aWait tells of. */
  std::optional<PlacedAttempt> Place(const BoundRequest& aRequest,
                                     const std::set<UpstreamId>& aTried,
                                     PermitWait& aWait,
                                     Millis aNow);
  /** The same, waiting for nothing. */
  std::optional<PlacedAttempt> Place(const BoundRequest& aRequest,
                                     const std::set<UpstreamId>& aTried,
                                     Millis aNow);

  /**
   * Sends the request on to the upstream that keeps a copy of it, if that is
   * still there; the copy counts as the same run.
   */
  std::optional<PlacedAttempt> PlaceAtBackup(const BoundRequest& aRequest,
                                             const PlacedAttempt& aBroken,
                                             Millis aNow);

  /** Whether the request may be run, which has waited for so long, or would
   * crash who runs it. */
  QuarantineVerdict Admit(const BoundRequest& aRequest,
                          Millis aWaited,
                          Millis aNow)
  {
    return mQuarantine.Admit(aRequest.mFingerprint, aWaited, aNow);
  }
  /** Whether it is being found out if the attempt's upstream has crashed. */
  bool IsCrashSuspected(const PlacedAttempt& aAttempt) const;
  /** Somebody listens at the upstream's address. */
  void OnListening(const UpstreamId& aUpstream);
  /** The attempt's connection ended before its answer was whole. True where
   * it is to be found out whether the upstream still listens. */
  bool OnConnectionLost(const PlacedAttempt& aAttempt, Millis aNow);
  /** Nobody listens at the upstream's address. */
  void OnConnectionRefused(const UpstreamId& aUpstream, Millis aNow);
  /** What is to be told of crashes; see Quarantine::TakeUpdates(). */
  std::vector<CrashUpdate> TakeCrashUpdates(bool aAgain, Millis aNow)
  {
    return mQuarantine.TakeUpdates(aAgain, aNow);
  }
  void OnCrashUpdate(const CrashUpdate& aNews, Millis aNow);
  /** A few times a second. */
  void TickCrashes(Millis aNow);
  /** Crashes since this was last asked, for the log. */
  std::vector<UpstreamCrash> TakeCrashes();
  uint64_t Crashes() const { return mCrashCount; }
  const Quarantine& CrashQuarantine() const { return mQuarantine; }
  Quarantine& CrashQuarantine() { return mQuarantine; }

  /** Takes a second attempt from the service's budget. */
  bool TakeRetry(const std::string& aService);
  /** A service's retries that are left. */
  double RetriesLeft(const std::string& aService) const;
  /** The same of all services that were asked for. */
  const std::unordered_map<std::string, double>& RetriesLeft() const
  {
    return mRetries.All();
  }
  void SetRetries(RetryBudgetOptions aOptions)
  {
    mRetries.SetOptions(aOptions);
  }
  /** See DirectRouterOptions::mKeyPolicyMaxAge. */
  void SetKeyPolicyMaxAge(Millis aSpan) { mOptions.mKeyPolicyMaxAge = aSpan; }

  /** Any byte came. */
  void OnBytesReceived(const PlacedAttempt& aAttempt, Millis aNow);
  /** The first byte of the answer's content came. */
  void OnStarted(PlacedAttempt& aAttempt, Millis aNow);
  void OnReport(const PlacedAttempt& aAttempt,
                const ReportedLoad& aLoad,
                Millis aNow);
  /** The answer's head came; it names that rate limit, or none. */
  void OnRateLimit(const PlacedAttempt& aAttempt,
                   const std::optional<NamedLimit>& aLimit,
                   Millis aNow);
  const UpstreamLimits& Limits() const { return mLimits; }
  /** Where entries ask each other for permits: this one's address and all
   * others'. */
  void SetPermitEntries(std::string aOwn, std::vector<std::string> aOthers)
  {
    mPermits.SetEntries(std::move(aOwn), std::move(aOthers));
  }
  /** This entry has just joined others. */
  void JoinPermitIssuers(Millis aNow) { mIssuer.Join(aNow); }
  /** Another entry, or this one, asks for a permit; empty: no answer. */
  std::optional<PermitReply> OnPermitRequest(const std::string& aFrom,
                                             const PermitRequest& aAsk,
                                             Millis aNow);
  void OnPermitReply(const PermitReply& aReply, Millis aNow)
  {
    mPermits.OnReply(aReply, aNow);
  }
  void OnEnded(const PlacedAttempt& aAttempt,
               AttemptOutcome aOutcome,
               Millis aNow);

  /** A part of a stream came so long after the one before. */
  void OnPause(const PlacedAttempt& aAttempt, Millis aPause, Millis aNow);

  /** Something is to be told that other entries do not know yet. */
  bool HasPeerUpdate() const { return mHasPeerUpdate; }
  /** What is to be told, whole; it is told then. */
  PeerUpdate TakePeerUpdate(Millis aNow);
  /** What another entry tells. */
  void OnPeerUpdate(const PeerUpdate& aNotes, Millis aNow);
  /** Entries that were heard lately. */
  size_t Peers() const { return mPeers.Peers(); }
  /** How many entries there are, this one included. */
  void SetEntries(size_t aEntries) { mEntries = aEntries; }
  /** Whether there are entries that this one does not tell. */
  void SetRelays(bool aRelays) { mQuarantine.SetRelays(aRelays); }

  uint64_t Ejections() const { return mOutliers.Ejections(); }
  OutlierState StateOf(const UpstreamId& aUpstream, Millis aNow) const;
  /** How many listed upstreams are "ready", "ejected" and "draining". */
  std::map<std::string, uint32_t> UpstreamsByState(Millis aNow) const;
  /** Open attempts and the belief about each upstream, as JSON text. */
  std::string DumpState(Millis aNow) const;
  /** The policy's version and each upstream with its state and load. */
  nlohmann::json Status(Millis aNow) const;

private:
  struct TrackedUpstream
  {
    std::string mService;
    UpstreamWork mWork;
    PeerSilence mPeerSilence;
    uint64_t mIncarnationNumber = 0;
    UpstreamIncarnation mIncarnation;
    bool mListed = false;
    bool mLeaving = false;
    /** It is slow until then, after its start. */
    Millis mColdUntil;
  };
  struct TimedReport
  {
    ReportedLoad mLoad;
    Millis mAt;
  };
  using Candidates = std::vector<PlacementCandidate>;

  /** The upstream as the attempt knew it, or null where that start is over. */
  TrackedUpstream* FindTracked(const PlacedAttempt& aAttempt);
  /** That process is over, for that reason. */
  void OnIncarnationEnded(const UpstreamIncarnation& aStart,
                          const char* aWhy,
                          Millis aNow);
  void TakeCrash(UpstreamCrash aCrash, Millis aNow);
  void ReportLimitChanges();
  void ForgetLimit(const UpstreamId& aUpstream);
  /** Takes what is needed to send there now: true where it may be sent. */
  bool TakePermit(const UpstreamId& aUpstream, uint8_t aUrgency, Millis aNow);
  void SendPermitRequest(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow);
  /** Whether the request may be sent there now or with a permit. */
  bool MayHavePermit(const UpstreamId& aUpstream,
                     uint8_t aUrgency,
                     const PermitWait& aWait,
                     Millis aNow);
  /** When there may be room at an upstream that names a limit; empty where
   * there is none that could take the request. */
  std::optional<Millis> CapacityIn(const BoundRequest& aRequest,
                                   const std::set<UpstreamId>& aTried,
                                   Millis aNow);
  void RecordAttempt(const BoundRequest& aRequest, Millis aNow);
  /** Another process has taken the upstream's place. */
  void ForgetIncarnation(const UpstreamId& aUpstream,
                         TrackedUpstream& aTracked);
  /** Its results give no reason to avoid it. */
  bool IsHealthy(const UpstreamId& aUpstream, Millis aNow) const;
  const char* StateName(const ListedUpstream& aListed, Millis aNow) const;
  const std::string& ServiceFor(const Route& aRoute);
  Candidates CandidatesFor(const BoundRequest& aRequest,
                           const std::set<UpstreamId>& aTried,
                           const PermitWait& aWait,
                           Millis aNow);
  PlacedAttempt Send(const BoundRequest& aRequest,
                     const PlacementChoice& aPlaced,
                     const Candidates& aCandidates,
                     Millis aNow);
  /** How many times what entries that are heard tell the whole is. */
  double DemandScale() const;
  /**
   * No entry's word is missing. What engines reported to others is news only
   * together with all that was sent there since: a hundred entries that went
   * by a part of it, late, all sent to the same engines. In an overload of
   * slots the most urgent route earned 0.63 of its credit with such reports and
   * with failures told, and 0.80 with neither (one run each).
   */
  bool AllHeard() const;
  /** Who is silent to others, and who is not. */
  void TakeSilence(const PeerUpdate& aNotes, Millis aNow);
  /** What is sent where, for this entry's memory and for the others. */
  void TakeNote(const PromptShape& aPrompt,
                const PlacementChoice& aPlaced,
                Millis aNow);
  EngineInfo FactsOf(const BoundRequest& aRequest, Millis aNow) const;
  /** When a request that finds no room is to come back: after aLeast and by
   * chance up to aSpread later, so that those that are refused together do not
   * come back together, but while its caller still waits for it. */
  Millis ReturnIn(const BoundRequest& aRequest, Millis aLeast, Millis aSpread);
  /** Why the request should come back later, or empty: when. */
  std::optional<Millis> Overload(const BoundRequest& aRequest, Millis aNow);
  StartForecast ForecastFor(const BoundRequest& aRequest, Millis aNow);
  /** The upstream, if something may be fetched from it, or null. */
  const ListedUpstream* HolderAt(const UpstreamId& aHolder, Millis aNow) const;
  uint32_t ConnectionsFor(const BoundRequest& aRequest) const;
  /** An upstream that may keep a copy, where a copy is worth its price. */
  const ListedUpstream* BackupFor(const BoundRequest& aRequest,
                                  const Candidates& aCandidates,
                                  const UpstreamId& aChosen) const;

  DirectRouterOptions mOptions;
  std::shared_ptr<const RouteIndex> mIndex;
  Freshness mPolicyFreshness;
  Freshness mListFreshness;
  UpstreamDirectory mDirectory;
  std::unordered_map<UpstreamId, TrackedUpstream> mTracked;
  CrashDetector mCrashDetector;
  Quarantine mQuarantine;
  std::vector<UpstreamCrash> mCrashes;
  uint64_t mCrashCount = 0;
  UpstreamLimits mLimits;
  PermitRequester mPermits;
  PermitIssuer mIssuer;
  OutlierDetector mOutliers;
  WorkPlacement mPlacement;
  EngineModel mEngines;
  PauseRecord mPauses;
  EngineAdmission mEngineAdmission;
  DedicatedPools mLanes;
  SharedSegmentDetector mSharedSegments;
  /** By route. */
  std::unordered_map<std::string, StartMeter> mMeters;
  PeerWork mPeers;
  size_t mEntries = 1;
  /** Requests with a prompt that come to this entry, by service. */
  std::unordered_map<std::string, ArrivalRate> mArrivals;
  bool mHasPeerUpdate = false;
  std::vector<SentPrompt> mSent;
  /** Reports that were not told yet, with the instant at which they came. */
  std::unordered_map<UpstreamId, TimedReport> mReports;
  /** Upstreams that have answered, to be told. */
  std::set<UpstreamId> mAnswered;
  uint64_t mNotes = 0;
  /** Tells this process from the next of its name. */
  uint64_t mProcess = 0;
  TierGuard mTiers;
  RetryBudget mRetries;
  std::mt19937_64 mRandom;
  /** Whether a request that may run once only tries an upstream that had been
   * failing: rarely, but where no others come nobody else would. */
  std::bernoulli_distribution mProbeProbability{ 0.2 };
};

} // namespace trefoilarch
