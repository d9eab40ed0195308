#include "directrouter.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Retry delay of most rejections: another entry may know more. */
constexpr Millis kRetryAfter{ 250 };

/** Retry delay of requests rejected in favour of more urgent ones. */
constexpr Millis kShedRetryAfter{ 500 };

Refusal
Refuse(ErrorKind aKind, std::string aMessage)
{
  return Refusal{ .mKind = aKind,
                  .mRan = Ran::No,
                  .mRetryAfter =
                    AnswerFor(aKind).mRetryable ? kRetryAfter : Millis(0),
                  .mMessage = std::move(aMessage) };
}

QuarantineOptions
QuarantineOptionsOf(const DirectRouterOptions& aOptions)
{
  QuarantineOptions options = aOptions.mQuarantine;
  options.mSeed = aOptions.mSeed;
  return options;
}

LoadTrackerOptions
LoadOptionsOf(const DirectRouterOptions& aOptions, uint64_t aProcess)
{
  LoadTrackerOptions options = aOptions.mLoad;
  options.mName = aOptions.mName;
  options.mProcess = aProcess;
  options.mShares.mSeed = aOptions.mSeed;
  return options;
}

} // namespace

DirectRouter::DirectRouter(DirectRouterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mDirectory(mOptions.mDirectory)
  , mQuarantine(QuarantineOptionsOf(mOptions))
  , mOutliers(mOptions.mOutliers)
  , mPlacement({ .mDataCentre = mOptions.mDataCentre,
                 .mCost = mOptions.mPlacementCost,
                 .mSeed = mOptions.mSeed })
  , mTiers(mOptions.mSeed)
  , mRetries(mOptions.mRetries)
  , mRandom(mOptions.mSeed)
  , mProcess(mRandom())
  , mPeerUpdates(mOptions.mName, mProcess)
  , mLoad(LoadOptionsOf(mOptions, mProcess))
{
}

bool
DirectRouter::SetPolicy(std::shared_ptr<const RoutePolicy> aPolicy)
{
  if (mIndex && aPolicy->mVersion <= mIndex->Version()) {
    return false;
  }
  mLoad.SetWeights(*aPolicy);
  mIndex = std::make_shared<RouteIndex>(std::move(aPolicy));
  return true;
}

std::vector<UpstreamId>
DirectRouter::OnDirectoryChanged(Millis aNow)
{
  std::vector<UpstreamId> restarted;
  for (auto& [id, tracked] : mTracked) {
    tracked.mListed = false;
  }
  mVersions.OnDirectoryChanged(mDirectory, aNow);
  for (const auto& [id, listed] : mDirectory.All()) {
    const auto [it, inserted] = mTracked.try_emplace(id);
    TrackedUpstream& tracked = it->second;
    tracked.mListed = true;
    if (!inserted && tracked.mIncarnationNumber != listed.mIncarnationNumber) {
      if (!tracked.mLeaving) {
        OnIncarnationEnded(tracked.mIncarnation, "replaced", aNow);
      }
      ForgetIncarnation(id, tracked, aNow);
      restarted.push_back(id);
    }
    if (tracked.mIncarnationNumber != listed.mIncarnationNumber) {
      tracked.mIncarnationNumber = listed.mIncarnationNumber;
      tracked.mColdUntil = aNow + listed.mColdFor;
    }
    tracked.mIncarnation = { .mUpstream = id,
                             .mStartTime = listed.mStartTime.value_or(0) };
    mAvailability.OnListed(id, listed.Process());
    mLoad.OnListed(listed, aNow);
    tracked.mLeaving = IsLeaving(listed);
    if (tracked.mLeaving) {
      mCrashDetector.OnLeaving(tracked.mIncarnation);
    }
    tracked.mService = listed.mService;
    mOutliers.Add(id, listed.mService);
  }
  std::erase_if(mTracked, [this, aNow](const auto& aEntry) {
    const auto& [id, tracked] = aEntry;
    if (tracked.mListed) {
      return false;
    }
    if (!tracked.mLeaving) {
      OnIncarnationEnded(tracked.mIncarnation, "unlisted", aNow);
    }
    mOutliers.Remove(id);
    mEngineModel.Forget(id);
    mLoad.OnUnlisted(id, aNow);
    mPlacement.PrefixCaches().Forget(id);
    ForgetLimit(id);
    return tracked.mWork.Open() == 0;
  });
  ReportAvailabilityChanges();
  return restarted;
}

void
DirectRouter::ForgetIncarnation(const UpstreamId& aUpstream,
                                TrackedUpstream& aTracked,
                                Millis aNow)
{
  mOutliers.Reset(aUpstream);
  ForgetLimit(aUpstream);
  mEngineModel.Forget(aUpstream);
  mLoad.OnIncarnationEnded(aUpstream, aNow);
  mPlacement.PrefixCaches().Forget(aUpstream);
  aTracked.mWork = UpstreamWork();
  aTracked.mPeerSilence = PeerSilence();
}

void
DirectRouter::ForgetLimit(const UpstreamId& aUpstream)
{
  mLimits.Forget(aUpstream);
  mPermits.Forget(aUpstream);
  mIssuer.Forget(aUpstream);
}

DirectRouter::TrackedUpstream*
DirectRouter::FindTracked(const PlacedAttempt& aAttempt)
{
  const auto tracked = mTracked.find(aAttempt.mUpstream);
  const bool same =
    tracked != mTracked.end() &&
    tracked->second.mIncarnationNumber == aAttempt.mIncarnationNumber;
  return same ? &tracked->second : nullptr;
}

Result<BoundRequest>
DirectRouter::Bind(const RequestAttributes& aAttributes, Millis aNow)
{
  if (!mIndex) {
    return Fail(Refuse(ErrorKind::PolicyUnknown, "no policy yet"));
  }
  mPeers.Expire(aNow);
  const bool recent = mPolicyFreshness.IsWithin(mOptions.mPolicyMaxAge, aNow);
  const Route* route = mIndex->Find(aAttributes.mHost, aAttributes.mPath);
  if (route == nullptr) {
    return Fail(Refuse(
      recent ? ErrorKind::UnknownRoute : ErrorKind::PolicyStale, "no route"));
  }
  BoundRequest bound{ .mIndex = mIndex,
                      .mRoute = route,
                      .mPriority = route->mPriority,
                      .mRoutePriority = route->mPriority,
                      .mPrompt = aAttributes.mPrompt,
                      .mStream = StreamKeyOf(aAttributes.mResumes
                                               ? aAttributes.mResumedRequestId
                                               : aAttributes.mRequestId),
                      .mResumes = aAttributes.mResumes && route->mStream,
                      .mArrivedAt = aAttributes.mArrivedAt };
  if (!route->mPublic && !mIndex->Policy().mWorkspaces.empty()) {
    if (!mPolicyFreshness.IsWithin(mOptions.mKeyPolicyMaxAge, aNow)) {
      return Fail(Refuse(ErrorKind::PolicyStale, "keys can't be checked"));
    }
    const KeyedWorkspace* workspace = mIndex->WorkspaceForKey(aAttributes.mKey);
    if (workspace == nullptr) {
      return Fail(Refuse(recent ? ErrorKind::BadToken : ErrorKind::PolicyStale,
                         "unknown key"));
    }
    bound.mWorkspace = workspace->mName;
    bound.mKey = aAttributes.mKey;
    bound.mPriority = workspace->mPriority.value_or(route->mPriority);
  }
  const Millis timeout = std::min(
    route->mTimeout, aAttributes.mCallerTimeout.value_or(route->mTimeout));
  bound.mDeadline = aAttributes.mArrivedAt + timeout;
  bound.mService = ServiceFor(*route);
  bound.mPrompt.mSharedSegments =
    mSharedSegments.OnPrompt(route->mName, bound.mPrompt);
  mPools.OnRequest(bound.mService,
                   *route,
                   bound.mPrompt,
                   aNow,
                   mStartMeters[route->mName].Open());
  const auto overload = Overload(bound, aNow);
  const auto fail = [](const OverloadRejection& aRejection) {
    return Fail(Refusal{ .mKind = ErrorKind::Shed,
                         .mRan = Ran::No,
                         .mRetryAfter = aRejection.mRetryAfter,
                         .mMessage = aRejection.mMessage });
  };
  if (ShedsTier(bound, overload.has_value(), aNow)) {
    // Overload() checks the share if there are peers.
    if (mPeers.Peers() > 0 && !(overload && overload->mOverShare)) {
      mLoad.OnShareUnused(
        bound, mEngineModel.PrefillPerMs(bound.mService), aNow);
    }
    return fail(overload.value_or(
      OverloadRejection{ .mRetryAfter = kShedRetryAfter,
                         .mMessage = "more urgent requests are late" }));
  }
  mRetries.OnFirstAttempt(bound.mService);
  return bound;
}

bool
DirectRouter::ShedsTier(const BoundRequest& aRequest, bool aLate, Millis aNow)
{
  const TierRequest request{ .mService = aRequest.mService,
                             .mPriority = aRequest.mRoutePriority,
                             .mWork = std::max<double>(
                               1, aRequest.mPrompt.mPromptTokens),
                             .mLate = aLate };
  const bool rejected = mTiers.Rejects(
    request,
    [&](const auto& aIsReporting) {
      return mPools.PeersSendLessUrgent(
        request.mService, request.mPriority, aNow, aIsReporting);
    },
    aNow);
  if (mTiers.IsOverloaded(aNow)) {
    mPeerUpdates.MarkChanged();
  }
  return rejected;
}

bool
DirectRouter::StillAllowed(const BoundRequest& aRequest, Millis aNow) const
{
  if (aRequest.mWorkspace.empty()) {
    return true;
  }
  const KeyedWorkspace* workspace = mIndex->WorkspaceForKey(aRequest.mKey);
  return mPolicyFreshness.IsWithin(mOptions.mKeyPolicyMaxAge, aNow) &&
         workspace != nullptr && workspace->mName == aRequest.mWorkspace;
}

void
DirectRouter::RecordSentPrompt(const PromptShape& aPrompt,
                               const PlacementChoice& aChoice,
                               Millis aNow)
{
  if (aPrompt.mPromptTokens == 0) {
    return;
  }
  SentPrompt sent{ .mUpstream = aChoice.mUpstream,
                   .mSegments = aPrompt.SharedIds(),
                   .mTokens = aChoice.mWork.mPrefill + aChoice.mWork.mOutput };
  mPlacement.PrefixCaches().OnSent(
    sent.mUpstream, sent.mSegments, sent.mTokens, aNow);
  mPeerUpdates.OnSent(std::move(sent));
}

PeerUpdate
DirectRouter::TakePeerUpdate(Millis aNow)
{
  PeerUpdate update = mPeerUpdates.Take(AllPeersReporting(), aNow);
  update.mDemands = mPools.Demands(aNow);
  update.mLimits = mLimits.TakeReports(aNow);
  update.mTiers = mTiers.Reports(aNow);
  for (const auto& [id, tracked] : mTracked) {
    if (tracked.mWork.Pending().All() > 0) {
      update.mPending.push_back({ id, tracked.mWork.Pending() });
    }
    const Millis silence = tracked.mWork.Silence(aNow);
    if (silence >= mPlacement.NormalSilence()) {
      update.mSilent.push_back({ .mUpstream = id, .mSilence = silence });
    }
  }
  return update;
}

bool
DirectRouter::AllPeersReporting() const
{
  return mPeers.Peers() + 1 >= mEntries;
}

void
DirectRouter::OnPeerUpdate(const PeerUpdate& aUpdate, Millis aNow)
{
  mPeers.Expire(aNow);
  if (!mPeers.Take(aUpdate, aNow)) {
    return;
  }
  const bool allReporting = AllPeersReporting();
  for (const SentPrompt& each : aUpdate.mSent) {
    const auto tracked = mTracked.find(each.mUpstream);
    if (tracked != mTracked.end()) {
      if (allReporting) {
        tracked->second.mWork.OnSentByPeer(aNow);
      }
      mPlacement.PrefixCaches().OnSent(
        each.mUpstream, each.mSegments, each.mTokens, aNow);
    }
  }
  for (const LimitReport& each : aUpdate.mLimits) {
    mLimits.OnPeerReport(each, aNow);
  }
  ReportLimitChanges();
  mPools.OnPeerDemands(aUpdate.mFrom, aUpdate.mDemands, aNow);
  if (!aUpdate.mTiers.empty()) {
    OnTierUpdate({ .mFrom = aUpdate.mFrom,
                   .mProcess = aUpdate.mProcess,
                   .mSequence = aUpdate.mSequence,
                   .mReports = aUpdate.mTiers },
                 aNow);
  }
  ApplyPeerSilence(aUpdate, aNow);
  for (const ReceivedLoadReport& each : aUpdate.mReports) {
    const auto tracked = mTracked.find(each.mUpstream);
    if (allReporting && tracked != mTracked.end()) {
      tracked->second.mWork.OnReport(each.mLoad, aNow - each.mAge);
    }
  }
}

void
DirectRouter::ApplyPeerSilence(const PeerUpdate& aUpdate, Millis aNow)
{
  for (const SilentUpstream& each : aUpdate.mSilent) {
    const auto tracked = mTracked.find(each.mUpstream);
    if (tracked != mTracked.end()) {
      tracked->second.mPeerSilence.OnPeerReport(
        aUpdate.mFrom, aNow - each.mSilence, aNow);
    }
  }
  for (const UpstreamId& each : aUpdate.mAnswered) {
    const auto tracked = mTracked.find(each);
    if (tracked != mTracked.end()) {
      tracked->second.mPeerSilence.OnAnswered();
    }
  }
}

void
DirectRouter::OnPause(const PlacedAttempt& aAttempt, Millis aPause, Millis aNow)
{
  mPauses.OnPause(aAttempt.mRoute, aPause, aNow);
  if (const TrackedUpstream* tracked = FindTracked(aAttempt)) {
    mLoad.OnEvent(aAttempt,
                  { .mUpstream = aAttempt.mUpstream,
                    .mWork = tracked->mWork,
                    .mPeerPending = mPeers.Pending(aAttempt.mUpstream) },
                  aPause,
                  aNow);
  }
}

bool
DirectRouter::TakeRetry(const std::string& aService)
{
  return mRetries.TakeRetry(aService);
}

double
DirectRouter::RetriesLeft(const std::string& aService) const
{
  return mRetries.Remaining(aService);
}

void
DirectRouter::OnBytesReceived(const PlacedAttempt& aAttempt, Millis aNow)
{
  if (TrackedUpstream* tracked = FindTracked(aAttempt)) {
    tracked->mWork.OnBytesReceived(aNow);
  }
}

void
DirectRouter::OnStarted(PlacedAttempt& aAttempt, Millis aNow)
{
  if (aAttempt.mStarted) {
    return;
  }
  aAttempt.mStarted = true;
  aAttempt.mStartedAt = aNow;
  mAvailability.OnStarted(aAttempt.mUpstream, aAttempt.mSentAt);
  mStartMeters[aAttempt.mRoute].OnStarted(
    aAttempt.mSentAt, aNow, aAttempt.mPriority);
  if (TrackedUpstream* tracked = FindTracked(aAttempt)) {
    tracked->mWork.OnStarted(aAttempt.mWork);
    const Millis firstTokenTime = aNow - aAttempt.mSentAt;
    mOutliers.OnFirstToken(aAttempt.mUpstream, firstTokenTime, aNow);
    mPeerUpdates.OnAnswered(aAttempt.mUpstream);
    mLoad.OnStarted(aAttempt);
    if (aAttempt.mWork.mPrefill > 0) {
      mEngineModel.OnStarted(aAttempt.mService,
                             aAttempt.mUpstream,
                             aAttempt.mPrefillBacklog,
                             firstTokenTime,
                             aNow);
      mPeerUpdates.MarkChanged();
    }
  }
}

void
DirectRouter::OnReport(const PlacedAttempt& aAttempt,
                       const ReportedLoad& aLoad,
                       Millis aNow)
{
  if (TrackedUpstream* tracked = FindTracked(aAttempt)) {
    tracked->mWork.OnReport(aLoad, aNow);
    if (aAttempt.mWork.mOutput > 0) {
      mPeerUpdates.OnReport(aAttempt.mUpstream, aLoad, aNow);
    }
  }
}

void
DirectRouter::OnContention(const PlacedAttempt& aAttempt,
                           double aFactor,
                           Millis aNow)
{
  if (FindTracked(aAttempt) != nullptr) {
    mLoad.OnContention(aAttempt.mUpstream, aFactor, aNow);
  }
}

void
DirectRouter::OnEnded(const PlacedAttempt& aAttempt,
                      AttemptOutcome aOutcome,
                      Millis aNow)
{
  mQuarantine.OnAttemptEnded(aAttempt.mFeatures);
  if (aOutcome == AttemptOutcome::Good && aAttempt.mProvesHarmless) {
    mQuarantine.OnAnswered(aAttempt.mFeatures, aNow);
  }
  if (mQuarantine.HasUpdate()) {
    mOptions.mOnCrashUpdate();
  }
  TrackedUpstream* tracked = FindTracked(aAttempt);
  const bool whole = aOutcome == AttemptOutcome::Good && tracked != nullptr;
  mLoad.OnEnded(aAttempt, whole, aNow);
  if (tracked != nullptr) {
    if (!aAttempt.mStarted) {
      mPeerUpdates.MarkChanged();
    }
    tracked->mWork.OnEnded(aAttempt.mWork, aAttempt.mStarted, aNow);
    if (!tracked->mListed && tracked->mWork.Open() == 0) {
      mTracked.erase(aAttempt.mUpstream);
    }
  }
  if (aAttempt.mStarted) {
    mStartMeters[aAttempt.mRoute].OnEnded(aAttempt.mStartedAt, aNow);
    mPauses.OnStreamEnded(aAttempt.mRoute, aNow);
    if (aAttempt.mWork.mOutput > 0) {
      mEngineModel.OnEnded(aAttempt.mService, aNow - aAttempt.mStartedAt);
    }
  } else {
    mStartMeters[aAttempt.mRoute].OnAbandoned(aAttempt.mSentAt,
                                              aAttempt.mPriority);
    mAvailability.OnNotStarted(aAttempt.mUpstream, aAttempt.mSentAt);
  }
  // A pause already keeps requests away; an ejection could outlast it.
  const bool refusedForPause = aOutcome == AttemptOutcome::Refused &&
                               mAvailability.IsPaused(aAttempt.mUpstream, aNow);
  const bool countsAsFailure = aOutcome != AttemptOutcome::Good &&
                               aOutcome != AttemptOutcome::Withdrawn &&
                               !refusedForPause;
  if (countsAsFailure && tracked != nullptr) {
    mOutliers.OnFailure(aAttempt.mUpstream, aNow);
  }
}

OutlierState
DirectRouter::StateOf(const UpstreamId& aUpstream, Millis aNow) const
{
  return mOutliers.State(aUpstream, aNow);
}

bool
DirectRouter::IsHealthy(const UpstreamId& aUpstream, Millis aNow) const
{
  return mOutliers.State(aUpstream, aNow) == OutlierState::Healthy;
}

const std::string&
DirectRouter::ServiceFor(const Route& aRoute)
{
  uint64_t total = 0;
  for (const WeightedTarget& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  if (total == 0) {
    return aRoute.mTargets.front().mService;
  }
  uint64_t pick =
    std::uniform_int_distribution<uint64_t>(0, total - 1)(mRandom);
  for (const WeightedTarget& target : aRoute.mTargets) {
    if (pick < target.mWeight) {
      return target.mService;
    }
    pick -= target.mWeight;
  }
  return aRoute.mTargets.back().mService;
}

} // namespace trefoilarch
