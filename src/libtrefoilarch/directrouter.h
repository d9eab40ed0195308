#pragma once

#include "arrivalrate.h"
#include "attemptoutcome.h"
#include "boundrequest.h"
#include "connectionshares.h"
#include "crashdetector.h"
#include "dedicatedpools.h"
#include "engineadmission.h"
#include "enginemodel.h"
#include "errors.h"
#include "freshness.h"
#include "loadtracker.h"
#include "outlierdetector.h"
#include "overloadrejection.h"
#include "pauserecord.h"
#include "peersilence.h"
#include "peerupdatebuilder.h"
#include "peerwork.h"
#include "permitissuer.h"
#include "permitrequester.h"
#include "placedattempt.h"
#include "placementwait.h"
#include "quarantine.h"
#include "retrybudget.h"
#include "routeindex.h"
#include "sharedsegmentdetector.h"
#include "startmeter.h"
#include "streams/serviceversions.h"
#include "streams/streamkeepers.h"
#include "streams/streamorigins.h"
#include "tieradmission.h"
#include "upstreamavailability.h"
#include "upstreamcrash.h"
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

/** Whether an interrupted stream can go on. */
enum class StreamContinuation : uint8_t
{
  Possible,
  Unknown,    /**< not before the list of upstreams is confirmed */
  Impossible, /**< no upstream of its version accepts requests */
};

struct DirectRouterOptions
{
  std::string mDataCentre;
  /** A request with a key is accepted only if the policy was confirmed within
   * this time, which bounds how long a revoked key is valid. */
  Millis mKeyPolicyMaxAge{ 4500 };
  /** Without a confirmation within this time, an unknown route or key is
   * reported as a stale policy: the policy may have changed. */
  Millis mPolicyMaxAge{ 3000 };
  /** Entries share an upstream's connections. Each may always use one in this
   * many; see ConnectionShares. */
  uint32_t mConnectionShare = 6;
  /** Since when there has been an open connection to the upstream; empty if
   * there is none. */
  std::function<std::optional<Millis>(const UpstreamId&)> mConnectedSince =
    [](const UpstreamId&) { return std::nullopt; };
  /** Number of idle connections to the upstream. */
  std::function<size_t(const UpstreamId&)> mIdleConnections =
    [](const UpstreamId&) { return size_t{ 0 }; };
  RetryBudgetOptions mRetries{ .mPercent = 15, .mInitial = 2, .mMax = 5 };
  OutlierOptions mOutliers{ .mFailuresInRow = 3,
                            .mFailureShare = 0.3,
                            .mMinResults = 10,
                            .mSlowFactor = 4,
                            .mSlowMargin = Millis(400),
                            .mInitialEjection = Millis(1500),
                            .mMaxEjection = Millis(6000),
                            .mMaxEjectedShare = 0.5 };
  /** This entry's name in updates to peers. */
  std::string mName;
  /** See WorkPlacementOptions::mCost. */
  PlacementCost mPlacementCost;
  QuarantineOptions mQuarantine;
  DirectoryOptions mDirectory;
  /** Its name and process are set by the router. */
  LoadTrackerOptions mLoad;
  /** Called for crash updates that peers need at once, or changes to be
   * logged. */
  std::function<void()> mOnCrashUpdate = [] {};
  /** Called when an upstream's rate limit starts, changes or ends. */
  std::function<void(const LimitChange&)> mOnLimitChange =
    [](const LimitChange&) {};
  /** Called when what an upstream states of its availability changes. */
  std::function<void(const AvailabilityChange&)> mOnAvailabilityChange =
    [](const AvailabilityChange&) {};
  std::function<void(const AddressedPermitRequest&)> mOnPermitRequest =
    [](const AddressedPermitRequest&) {};
  /** Called with a stream's origin that another entry is to keep. */
  std::function<void(const AddressedStreamRecord&)> mOnStreamRecord =
    [](const AddressedStreamRecord&) {};
  /** Called to ask another entry for a stream's origin. */
  std::function<void(const AddressedStreamQuery&)> mOnStreamQuery =
    [](const AddressedStreamQuery&) {};
  /** Called if the list of upstreams has to be confirmed as of this time. */
  std::function<void(Millis)> mOnListConfirmationWanted = [](Millis) {};
  uint64_t mSeed = 1;
};

/**
 * Makes an entry's decisions about requests to upstreams: route, workspace and
 * upstream, how recent the policy must be, and which requests may be retried.
 * Single-threaded and free of I/O.
 */
class DirectRouter
{
public:
  explicit DirectRouter(DirectRouterOptions aOptions);

  /** Ignores a policy that is not newer than the current one. */
  bool SetPolicy(std::shared_ptr<const RoutePolicy> aPolicy);
  /** The current policy was the newest at that time. */
  void ConfirmPolicy(Millis aAt) { mPolicyFreshness.Confirm(aAt); }
  /** Null before the first policy. */
  const std::shared_ptr<const RouteIndex>& Index() const { return mIndex; }
  const Freshness& PolicyFreshness() const { return mPolicyFreshness; }
  /** The list of upstreams was the newest at that time. */
  void ConfirmList(Millis aAt) { mListFreshness.Confirm(aAt); }
  const Freshness& ListFreshness() const { return mListFreshness; }

  UpstreamDirectory& Directory() { return mDirectory; }
  const UpstreamDirectory& Directory() const { return mDirectory; }
  /**
   * Must be called after each change of the directory. Returns the upstreams
   * that have restarted under their ids and discards their state.
   */
  std::vector<UpstreamId> OnDirectoryChanged(Millis aNow);

  /**
   * Fails with PolicyUnknown, PolicyStale, UnknownRoute, BadToken, or with Shed
   * if the request would start too late.
   */
  Result<BoundRequest> Bind(const RequestAttributes& aAttributes, Millis aNow);

  /** Whether its key is still valid; must be checked before each send. */
  bool StillAllowed(const BoundRequest& aRequest, Millis aNow) const;

  /** This process ends at that time, whatever is still open. */
  void SetStopAt(Millis aAt) { mStopAt = aAt; }
  /** Whether the request, if it is sent now, is expected to end before this
   * process does. Its stream has already lasted for aElapsed. */
  bool EndsBeforeStop(const BoundRequest& aRequest,
                      Millis aElapsed,
                      Millis aNow);

  /** Whether the chosen upstream is still listed and accepts requests. */
  bool TakesWork(const PlacedAttempt& aAttempt, Millis aNow) const;

  /** Time until the first pause of the request's upstreams ends, with a random
   * addition so that callers don't all return at once. Empty if an upstream
   * accepts requests, or if none is in a pause. */
  std::optional<Millis> PauseEndsIn(const BoundRequest& aRequest, Millis aNow);

  /** Whether an upstream accepts requests at which the request's stream may
   * continue; Possible if it has not begun. */
  StreamContinuation Continuation(const BoundRequest& aRequest) const;

  /** The request's stream has begun, or continues, at the attempt's upstream;
   * to be called before an event is forwarded. */
  void OnStreamBegun(BoundRequest& aRequest,
                     const PlacedAttempt& aAttempt,
                     Millis aNow);
  /** Where the stream that the request continues began, if it is known here:
   * from a record, or since its service has had a single version only. */
  std::optional<StreamOrigin> FindStreamOrigin(const BoundRequest& aRequest,
                                               Millis aNow) const;
  /** Asks other entries where the stream began; records may follow. */
  void RequestStreamOrigin(const BoundRequest& aRequest);
  /** Requires a list of upstreams that is as recent as the request, which may
   * show that its service has had a single version only. */
  void RequestListConfirmation(const BoundRequest& aRequest);
  void OnStreamRecord(const StreamOriginRecord& aRecord, Millis aNow)
  {
    mStreams.Put(aRecord, aNow);
  }
  /** The reply to another entry; empty if the origin is not known. */
  std::optional<StreamOriginRecord> OnStreamQuery(StreamKey aStream,
                                                  Millis aNow) const
  {
    return mStreams.Find(aStream, aNow);
  }
  size_t KnownStreams() const { return mStreams.Size(); }
  /** Numbers of listed upstreams by software version, by service. */
  const VersionCounts& Versions() const { return mVersions.Counts(); }

  /** Chooses an upstream and counts the attempt. Empty if there is no upstream,
   * or none before the permit in aWait arrives. */
  std::optional<PlacedAttempt> Place(const BoundRequest& aRequest,
                                     const std::set<UpstreamId>& aTried,
                                     PlacementWait& aWait,
                                     Millis aNow);
  /** The same without waiting for a permit. */
  std::optional<PlacedAttempt> Place(const BoundRequest& aRequest,
                                     const std::set<UpstreamId>& aTried,
                                     Millis aNow);

  /**
   * Sends the request to the upstream that keeps a copy of it, if still
   * available. The copy counts as the same run.
   */
  std::optional<PlacedAttempt> PlaceAtBackup(const BoundRequest& aRequest,
                                             const PlacedAttempt& aBroken,
                                             Millis aNow);

  /** Whether a request that was held for aWaited may run, must wait, or is
   * rejected since it would crash its upstream. */
  QuarantineVerdict Admit(const BoundRequest& aRequest,
                          Millis aWaited,
                          Millis aNow)
  {
    return mQuarantine.Admit(aRequest.mFeatures, aWaited, aNow);
  }
  /** Whether the request, or a segment of its prompt, is in quarantine. */
  bool IsQuarantined(const BoundRequest& aRequest) const
  {
    return mQuarantine.QuarantinedFeature(aRequest.mFeatures) != nullptr;
  }
  /** Whether it is not yet known if the attempt's upstream has crashed. */
  bool IsCrashSuspected(const PlacedAttempt& aAttempt) const;
  /** Whether the attempt's process is known to have ended, whatever the list
   * says of the upstream. */
  bool HasEnded(const PlacedAttempt& aAttempt) const;
  /** A connection to the upstream's address was accepted. */
  void OnListening(const UpstreamId& aUpstream);
  /** The attempt's connection ended before its response was complete. True if
   * the caller must check whether the upstream still listens. */
  bool OnConnectionLost(const PlacedAttempt& aAttempt, Millis aNow);
  /** A connection to the upstream's address was refused. */
  void OnConnectionRefused(const UpstreamId& aUpstream, Millis aNow);
  /** The crash updates for peers; see Quarantine::TakeUpdates(). */
  std::vector<CrashUpdate> TakeCrashUpdates(bool aAgain, Millis aNow)
  {
    return mQuarantine.TakeUpdates(aAgain, aNow);
  }
  void OnCrashUpdate(const CrashUpdate& aUpdate, Millis aNow);
  /** Must be called a few times a second. */
  void TickCrashes(Millis aNow);
  /** Crashes since the last call, for the log. */
  std::vector<UpstreamCrash> TakeCrashes();
  uint64_t Crashes() const { return mCrashCount; }
  const Quarantine& CrashQuarantine() const { return mQuarantine; }
  Quarantine& CrashQuarantine() { return mQuarantine; }

  bool TakeRetry(const std::string& aService);
  double RetriesLeft(const std::string& aService) const;
  /** Of all services that had requests. */
  const std::unordered_map<std::string, double>& RetriesLeft() const
  {
    return mRetries.All();
  }
  void SetRetries(RetryBudgetOptions aOptions)
  {
    mRetries.SetOptions(aOptions);
  }
  /** See DirectRouterOptions::mKeyPolicyMaxAge. */
  void SetKeyPolicyMaxAge(Millis aMaxAge)
  {
    mOptions.mKeyPolicyMaxAge = aMaxAge;
  }

  void OnBytesReceived(const PlacedAttempt& aAttempt, Millis aNow);
  /** The first byte of the response's content was received. */
  void OnStarted(PlacedAttempt& aAttempt, Millis aNow);
  void OnReport(const PlacedAttempt& aAttempt,
                const ReportedLoad& aLoad,
                Millis aNow);
  /** The upstream stated its contention in the response; 1 is usual. */
  void OnContention(const PlacedAttempt& aAttempt, double aFactor, Millis aNow);
  /** The response's head named that rate limit, or none. */
  void OnRateLimit(const PlacedAttempt& aAttempt,
                   const std::optional<NamedLimit>& aLimit,
                   Millis aNow);
  const UpstreamLimits& Limits() const { return mLimits; }
  /** The response's head stated this about further requests. */
  void OnAvailabilityStatement(const PlacedAttempt& aAttempt,
                               const AvailabilityStatement& aStatement,
                               Millis aNow);
  /** The addresses of the entries that exchange permit requests and the origins
   * of streams. */
  void SetPermitEntries(std::string aOwn, std::vector<std::string> aOthers)
  {
    mKeepers.SetEntries(aOwn, aOthers);
    mPermits.SetEntries(std::move(aOwn), std::move(aOthers));
  }
  /** This entry has just joined the fleet. */
  void JoinPermitIssuers(Millis aNow) { mIssuer.Join(aNow); }
  /** Handles a permit request of another entry or this one; empty: no reply. */
  std::optional<PermitReply> OnPermitRequest(const std::string& aFrom,
                                             const PermitRequest& aRequest,
                                             Millis aNow);
  void OnPermitReply(const PermitReply& aReply, Millis aNow)
  {
    mPermits.OnReply(aReply, aNow);
  }
  void OnEnded(const PlacedAttempt& aAttempt,
               AttemptOutcome aOutcome,
               Millis aNow);

  /** An event of a stream was received aPause after the previous one. */
  void OnPause(const PlacedAttempt& aAttempt, Millis aPause, Millis aNow);

  /** Whether there is state that peers haven't received yet. */
  bool HasPeerUpdate() const { return mPeerUpdates.HasChanges(); }
  /** All state that peers need; marks it as sent. */
  PeerUpdate TakePeerUpdate(Millis aNow);
  void OnPeerUpdate(const PeerUpdate& aUpdate, Millis aNow);
  /** A peer update's reports of tiers, which have a datagram of their own. */
  void OnTierUpdate(const TierUpdate& aUpdate, Millis aNow)
  {
    mTiers.OnPeerUpdate(aUpdate, aNow);
  }
  /** Entries that have sent an update recently. */
  size_t Peers() const { return mPeers.Peers(); }
  /** The number of entries, this one included. */
  void SetEntries(size_t aEntries)
  {
    mEntries = aEntries;
    mQuarantine.SetEntries(aEntries);
    mConnectionShares.SetEntries(aEntries);
    mLoad.SetEntries(aEntries);
  }
  /** Whether there are entries to which this one doesn't send directly. */
  void SetRelays(bool aRelays) { mQuarantine.SetRelays(aRelays); }

  /** Whether entries have to know the connections of this one. */
  bool HasConnectionUse(Millis aNow) const
  {
    return mConnectionShares.IsReporting(aNow);
  }
  ConnectionUseUpdate TakeConnectionUse(Millis aNow);
  void OnConnectionUse(const ConnectionUseUpdate& aUpdate, Millis aNow)
  {
    mConnectionShares.OnPeerUpdate(aUpdate, aNow);
  }
  /** More idle connections to the upstream are not kept: other entries may need
   * them. */
  size_t MaxIdleConnections(const UpstreamId& aUpstream, Millis aNow) const;

  LoadTracker& Load() { return mLoad; }
  const LoadTracker& Load() const { return mLoad; }

  uint64_t Ejections() const { return mOutliers.Ejections(); }
  OutlierState StateOf(const UpstreamId& aUpstream, Millis aNow) const;
  /** Number of listed upstreams by state: "ready", "ejected", "unlisted",
   * "draining", "paused". */
  std::map<std::string, uint32_t> UpstreamsByState(Millis aNow) const;
  /** Open attempts and the known state of each upstream, as JSON text. */
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
    /** End of its slow phase after its start. */
    Millis mColdUntil;
  };
  using Candidates = std::vector<PlacementCandidate>;

  /** Null if the attempt's incarnation has ended. */
  TrackedUpstream* FindTracked(const PlacedAttempt& aAttempt);
  void OnIncarnationEnded(const UpstreamIncarnation& aIncarnation,
                          const char* aReason,
                          Millis aNow);
  void TakeCrash(UpstreamCrash aCrash, Millis aNow);
  void ReportLimitChanges();
  void ForgetLimit(const UpstreamId& aUpstream);
  void ReportAvailabilityChanges();
  /** Whether a stream of that origin may continue at the upstream, by its
   * entry. */
  bool MayContinueAt(const StreamOrigin& aOrigin,
                     const ListedUpstream& aUpstream) const;
  /** Whether the upstream's entry is that of the process that listens at its
   * address, as far as the request's stream depends on it. */
  bool IsVersionKnown(const BoundRequest& aRequest,
                      const ListedUpstream& aUpstream) const;
  /** Whether the attempt's process is listed and not leaving. */
  bool IsInService(const PlacedAttempt& aAttempt) const;
  /** Whether it is leaving, by its entry or by its own statement. */
  bool IsLeaving(const ListedUpstream& aUpstream) const;
  /** Takes what is needed to send there now. True if the request may be
   * sent. */
  bool TakePermit(const UpstreamId& aUpstream, uint8_t aUrgency, Millis aNow);
  void SendPermitRequest(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow);
  /** Whether the request may be sent there now or with a permit. */
  bool MayHavePermit(const UpstreamId& aUpstream,
                     uint8_t aUrgency,
                     const PlacementWait& aWait,
                     Millis aNow);
  /** The time until an upstream with a rate limit may have capacity; empty if
   * there is none that could take the request. */
  std::optional<Millis> CapacityIn(const BoundRequest& aRequest,
                                   const std::set<UpstreamId>& aTried,
                                   Millis aNow);
  void RecordAttempt(const BoundRequest& aRequest, Millis aNow);
  /** Another process has replaced the upstream's. */
  void ForgetIncarnation(const UpstreamId& aUpstream,
                         TrackedUpstream& aTracked,
                         Millis aNow);
  /** Whether the upstream's results give no reason to avoid it. */
  bool IsHealthy(const UpstreamId& aUpstream, Millis aNow) const;
  const char* StateName(const ListedUpstream& aListed, Millis aNow) const;
  const std::string& ServiceFor(const Route& aRoute);
  Candidates CandidatesFor(const BoundRequest& aRequest,
                           const std::set<UpstreamId>& aTried,
                           const PlacementWait& aWait,
                           Millis aNow);
  PlacedAttempt Send(const BoundRequest& aRequest,
                     uint64_t aAttempt,
                     const PlacementChoice& aChoice,
                     const Candidates& aCandidates,
                     Millis aNow);
  /** Factor from the demand that peers have reported to the total demand. */
  double DemandScale() const;
  /**
   * Whether all entries send updates. Load reports from peers are used only
   * together with all requests sent since. With only some of these, and late,
   * all entries would send to the same engines.
   */
  bool AllPeersReporting() const;
  /** Applies which upstreams are silent to the peer, and which respond. */
  void ApplyPeerSilence(const PeerUpdate& aUpdate, Millis aNow);
  /** Records a sent prompt in the prefix caches and for the next update. */
  void RecordSentPrompt(const PromptShape& aPrompt,
                        const PlacementChoice& aChoice,
                        Millis aNow);
  EngineInfo EngineInfoFor(const BoundRequest& aRequest, Millis aNow) const;
  /** The retry delay of a rejected request: aMin plus a random part of aJitter,
   * so that requests rejected together aren't retried together, but within the
   * caller's timeout. */
  Millis RetryDelay(const BoundRequest& aRequest, Millis aMin, Millis aJitter);
  /** Why and for how long the request is rejected, if it would start too late
   * or exceeds its workspace's share. */
  std::optional<OverloadRejection> Overload(const BoundRequest& aRequest,
                                            Millis aNow);
  StartForecast ForecastFor(const BoundRequest& aRequest, Millis aNow);
  /** Whether enough is known of the engines for ForecastFor(). */
  bool HasEngineForecast(const BoundRequest& aRequest) const;
  /** Whether to reject the request so that overload is shed from the least
   * urgent requests. aLate: it is expected to start or end too late. */
  bool ShedsTier(const BoundRequest& aRequest, bool aLate, Millis aNow);
  /** The upstream, if it can be fetched from, or null. */
  const ListedUpstream* HolderAt(const UpstreamId& aHolder, Millis aNow) const;
  ConnectionLimits ConnectionLimitsOf(const RouteIndex& aIndex,
                                      const std::string& aService) const;
  /** Whether this entry, with aOpen requests at the upstream, may send another
   * one there. */
  bool HasFreeConnection(const UpstreamId& aUpstream,
                         uint32_t aOpen,
                         const ConnectionLimits& aLimits,
                         Millis aNow);
  /** An upstream that can keep a copy, or null if a copy isn't worth its
   * cost. */
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
  UpstreamAvailability mAvailability;
  ServiceVersions mVersions;
  StreamOrigins mStreams;
  StreamKeepers mKeepers;
  PermitRequester mPermits;
  PermitIssuer mIssuer;
  OutlierDetector mOutliers;
  WorkPlacement mPlacement;
  EngineModel mEngineModel;
  PauseRecord mPauses;
  EngineAdmission mEngineAdmission;
  DedicatedPools mPools;
  SharedSegmentDetector mSharedSegments;
  /** By route. */
  std::unordered_map<std::string, StartMeter> mStartMeters;
  std::optional<Millis> mStopAt;
  PeerWork mPeers;
  size_t mEntries = 1;
  ConnectionShares mConnectionShares;
  uint64_t mConnectionSequence = 0;
  /** Arrivals of requests with a prompt at this entry, by service. */
  std::unordered_map<std::string, ArrivalRate> mArrivalRates;
  TierAdmission mTiers;
  RetryBudget mRetries;
  std::mt19937_64 mRandom;
  /** Distinguishes this process from its successors of the same name. */
  uint64_t mProcess;
  PeerUpdateBuilder mPeerUpdates;
  LoadTracker mLoad;
  uint64_t mLastAttempt = 0;
  /** Whether a request that may run only once probes an upstream: rarely, but
   * if there are no other requests nothing else would probe it. */
  std::bernoulli_distribution mProbeProbability{ 0.2 };
};

} // namespace trefoilarch
