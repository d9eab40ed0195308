#include "directrouter.h"

#include <algorithm>
#include <array>
#include <cmath>

/** Upstream selection and overload checks of DirectRouter. */
namespace trefoilarch {

namespace {

/** Factor on the wait that a request of this priority may have before it is
 * rejected. Less urgent requests are rejected first. */
double
PriorityWeightOf(uint8_t aPriority)
{
  constexpr std::array kPriorityWeights = { 1.3, 1.0, 0.8, 0.65 };
  return kPriorityWeights[std::min<size_t>(aPriority,
                                           kPriorityWeights.size() - 1)];
}

/** A copy of a running request costs the transfer of its prompt's memory. It is
 * made if the response may reach this share of the prompt's length. */
constexpr double kBackupOutputShare = 0.5;

/** An engine may send nothing for this long while it prefills a long prompt. */
constexpr Millis kMaxHolderSilence{ 800 };

/** Factor on the wait that the start rate allows while peers send updates. This
 * entry then knows the pending prefill, but not the slots and memory in use, so
 * the start rate still limits the wait. */
constexpr double kReportingPeersWeight = 1.8;

/** Callers obey Retry-After if it is within a third of their timeout. */
constexpr int64_t kRetryAfterDivisor = 3;

/** Added load per pool of distance when a copy is placed, in open attempts. */
constexpr double kPoolDistanceLoad = 20;

std::string
ShareMessage(const BoundRequest& aRequest, const ShareVerdict& aShare)
{
  const auto text = [](double aMsPerSecond) {
    return std::to_string(std::llround(aMsPerSecond));
  };
  return "workspace " + aRequest.mWorkspace + " requests " +
         text(aShare.mDemand) + " ms/s of engine time, its share is " +
         text(aShare.mShare);
}

} // namespace

std::optional<OverloadRejection>
DirectRouter::Overload(const BoundRequest& aRequest, Millis aNow)
{
  const Route& route = *aRequest.mRoute;
  const Millis limit = aRequest.mDeadline - aRequest.mArrivedAt;
  const double weight = PriorityWeightOf(aRequest.mRoutePriority);
  const auto rejection = [](Millis aRetryAfter) {
    return OverloadRejection{ .mRetryAfter = aRetryAfter };
  };
  StartMeter& meter = mStartMeters[route.mName];
  if (!HasEngineForecast(aRequest)) {
    const auto late =
      meter.Refuse(route.mFirstTokenTarget, limit, weight, aNow);
    return late ? std::optional(rejection(*late)) : std::nullopt;
  }
  const StartRequirements requirements{ .mTarget = route.mFirstTokenTarget,
                                        .mLimit = limit,
                                        .mPriorityWeight = weight,
                                        .mMaxPause = route.mGapTarget };
  auto late = meter.Refuse(
    route.mFirstTokenTarget, limit, weight * kReportingPeersWeight, aNow);
  const StartForecast forecast =
    late ? StartForecast() : ForecastFor(aRequest, aNow);
  if (!late) {
    late = mEngineAdmission.Refuse(forecast, requirements);
    if (late) {
      late = RetryDelay(aRequest, *late, *late / 2);
    }
  }
  const double pressure = late
                            ? EngineAdmission::kMaxPressure
                            : mEngineAdmission.Pressure(forecast, requirements);
  const double perMs = mEngineModel.PrefillPerMs(aRequest.mService);
  const ShareVerdict share = mLoad.CheckShare(aRequest, perMs, pressure, aNow);
  if (!share.mAdmitted) {
    return OverloadRejection{ .mRetryAfter = share.mReturnAfter,
                              .mMessage = ShareMessage(aRequest, share),
                              .mOverShare = true };
  }
  return late ? std::optional(rejection(*late)) : std::nullopt;
}

Millis
DirectRouter::RetryDelay(const BoundRequest& aRequest,
                         Millis aMin,
                         Millis aJitter)
{
  const Millis limit = aRequest.mDeadline - aRequest.mArrivedAt;
  std::uniform_int_distribution<int64_t> jitter(0, aJitter.Count());
  return std::min(aMin + Millis(jitter(mRandom)), limit / kRetryAfterDivisor);
}

bool
DirectRouter::HasEngineForecast(const BoundRequest& aRequest) const
{
  // Without updates from peers an entry knows only its own share of the load.
  // The rate of its starts is then more reliable than a forecast.
  return aRequest.mPrompt.mPromptTokens > 0 && mPeers.Peers() > 0;
}

StartForecast
DirectRouter::ForecastFor(const BoundRequest& aRequest, Millis aNow)
{
  const Candidates candidates = CandidatesFor(aRequest, {}, {}, aNow);
  if (candidates.empty()) {
    return {};
  }
  const EngineInfo info = EngineInfoFor(aRequest, aNow);
  const uint8_t urgency = aRequest.mRoutePriority;
  const PlacementChoice choice =
    mPlacement.Choose(candidates, aRequest.mPrompt, urgency, info, aNow);
  return { .mWaitMs = choice.mWaitMs,
           .mPrefillMs = choice.mWork.mPrefill / info.mPrefillPerMs +
                         mEngineModel.MinWaitMs(aRequest.mService),
           .mAnswerMs = mStartMeters[aRequest.mRoute->mName].AnswerMs(),
           .mLongestPauseMs = choice.mForecast.mPace.mLongestPauseMs };
}

bool
DirectRouter::EndsBeforeStop(const BoundRequest& aRequest,
                             Millis aElapsed,
                             Millis aNow)
{
  if (!mStopAt || aRequest.mDeadline < *mStopAt) {
    return true;
  }
  const StartMeter& meter = mStartMeters[aRequest.mRoute->mName];
  double waitMs = meter.RecentWaitMs(aNow);
  if (HasEngineForecast(aRequest)) {
    const StartForecast forecast = ForecastFor(aRequest, aNow);
    waitMs = std::max(waitMs, forecast.mWaitMs + forecast.mPrefillMs);
  }
  const double answerMs =
    std::max(meter.LongAnswerMs() - static_cast<double>(aElapsed.Count()), 0.0);
  return aNow + Millis(static_cast<int64_t>(waitMs + answerMs)) < *mStopAt;
}

EngineInfo
DirectRouter::EngineInfoFor(const BoundRequest& aRequest, Millis aNow) const
{
  const std::string& service = aRequest.mService;
  const RoutedService* listed = mIndex ? mIndex->FindService(service) : nullptr;
  const bool engine = listed != nullptr && listed->mEngine.has_value();
  const double perMs = mEngineModel.PrefillPerMs(service);
  const auto arrivals = mArrivalRates.find(service);
  const double rate =
    arrivals == mArrivalRates.end() ? 0 : arrivals->second.PerMs(aNow);
  const size_t engines =
    std::max<size_t>(1, mDirectory.OfService(service).size());
  const double perEngine = rate / static_cast<double>(engines);
  const size_t reportingPeers = mPeers.Peers();
  const size_t peers = std::max(reportingPeers, mEntries - 1);
  EngineInfo info{
    .mPrefillPerMs = perMs,
    .mBehindCost = mEngineModel.PrefillMs(service, { .mBehind = 1 }) * perMs,
    .mMemoryTokens = engine ? listed->mEngine->mMemoryTokens : 0,
    .mAnswerMs = mEngineModel.AnswerMs(service),
    .mPeersReporting = reportingPeers > 0,
    .mReportedPerMs = perEngine * static_cast<double>(reportingPeers),
    .mUnreportedPerMs = perEngine * static_cast<double>(peers - reportingPeers),
    .mReportIntervalMs = mPeers.MeanIntervalMs()
  };
  mLoad.SetPaceCost(aRequest, info, aNow);
  return info;
}

std::optional<PlacedAttempt>
DirectRouter::PlaceAtBackup(const BoundRequest& aRequest,
                            const PlacedAttempt& aBroken,
                            Millis aNow)
{
  const PlacedAttempt copy{ .mUpstream = aBroken.mBackup,
                            .mIncarnationNumber =
                              aBroken.mBackupIncarnationNumber };
  const ListedUpstream* backup = mDirectory.Find(aBroken.mBackup);
  // A caller in the middle of its response doesn't wait for a permit.
  if (!TakesWork(copy, aNow) || mLimits.Of(aBroken.mBackup)) {
    return std::nullopt;
  }
  if (aRequest.mOrigin && !MayContinueAt(*aRequest.mOrigin, *backup)) {
    return std::nullopt;
  }
  const AttemptWork work{ .mOutput = aBroken.mWork.mOutput };
  mTracked[backup->mId].mWork.OnSent(work, aNow);
  mAvailability.OnSent(backup->mId, aNow);
  ReportAvailabilityChanges();
  RecordAttempt(aRequest, aNow);
  mStartMeters[aRequest.mRoute->mName].OnSent(aNow, aRequest.mPriority);
  PlacedAttempt attempt{ .mNumber = ++mLastAttempt,
                         .mUpstream = backup->mId,
                         .mIncarnationNumber = backup->mIncarnationNumber,
                         .mFeatures = aRequest.mFeatures,
                         .mService = backup->mService,
                         .mRoute = aRequest.mRoute->mName,
                         .mAddress = backup->mAddress,
                         .mVersion = backup->mVersion,
                         .mProcess = backup->Process(),
                         .mWork = work,
                         .mTokensPerEvent =
                           LoadTracker::TokensPerEvent(aRequest),
                         .mCopySourceAddress = aBroken.mAddress,
                         .mPriority = aRequest.mPriority,
                         .mSentAt = aNow };
  mLoad.OnSent(aRequest, attempt, aNow);
  return attempt;
}

std::optional<PlacedAttempt>
DirectRouter::Place(const BoundRequest& aRequest,
                    const std::set<UpstreamId>& aTried,
                    Millis aNow)
{
  PlacementWait wait{ .mMayRequest = false };
  return Place(aRequest, aTried, wait, aNow);
}

std::optional<PlacedAttempt>
DirectRouter::Place(const BoundRequest& aRequest,
                    const std::set<UpstreamId>& aTried,
                    PlacementWait& aWait,
                    Millis aNow)
{
  Candidates candidates = CandidatesFor(aRequest, aTried, aWait, aNow);
  aWait.mAttempt = aWait.mAttempt > 0 ? aWait.mAttempt : ++mLastAttempt;
  aWait.mMemory = mLoad.CheckMemory(aRequest, aWait.mAttempt, candidates, aNow);
  const uint8_t urgency = aRequest.mRoutePriority;
  while (!candidates.empty()) {
    const PlacementChoice choice =
      mPlacement.Choose(candidates,
                        aRequest.mPrompt,
                        urgency,
                        EngineInfoFor(aRequest, aNow),
                        aNow);
    const UpstreamId& upstream = choice.mUpstream;
    if (TakePermit(upstream, urgency, aNow)) {
      return Send(aRequest, aWait.mAttempt, choice, candidates, aNow);
    }
    if (mPermits.StateOf(upstream, urgency, aNow) == PermitState::Requested) {
      aWait.mUpstream = upstream;
      return std::nullopt;
    }
    std::erase_if(candidates, [&](const PlacementCandidate& aCandidate) {
      return aCandidate.mListed->mId == upstream;
    });
  }
  aWait.mUpstream.clear();
  aWait.mCapacityIn = CapacityIn(aRequest, aTried, aNow);
  return std::nullopt;
}

PlacedAttempt
DirectRouter::Send(const BoundRequest& aRequest,
                   uint64_t aAttempt,
                   const PlacementChoice& aChoice,
                   const Candidates& aCandidates,
                   Millis aNow)
{
  const uint8_t urgency = aRequest.mRoutePriority;
  const ListedUpstream* listed = mDirectory.Find(aChoice.mUpstream);
  UpstreamWork& work = mTracked[aChoice.mUpstream].mWork;
  work.OnSent(aChoice.mWork, aNow);
  mAvailability.OnSent(aChoice.mUpstream, aNow);
  ReportAvailabilityChanges();
  RecordAttempt(aRequest, aNow);
  PendingPrefill pending = work.Pending();
  pending += mPeers.Pending(aChoice.mUpstream);
  RecordSentPrompt(aRequest.mPrompt, aChoice, aNow);
  if (aRequest.mPrompt.mPromptTokens > 0) {
    mArrivalRates[aRequest.mService].OnArrival(aNow);
  }
  mStartMeters[aRequest.mRoute->mName].OnSent(aNow, aRequest.mPriority);
  const ListedUpstream* backup =
    BackupFor(aRequest, aCandidates, aChoice.mUpstream);
  const ListedUpstream* holder = HolderAt(aChoice.mHolder, aNow);
  PlacedAttempt attempt{
    .mNumber = aAttempt,
    .mUpstream = aChoice.mUpstream,
    .mIncarnationNumber = listed->mIncarnationNumber,
    .mFeatures = aRequest.mFeatures,
    .mService = listed->mService,
    .mRoute = aRequest.mRoute->mName,
    .mAddress = listed->mAddress,
    .mVersion = listed->mVersion,
    .mProcess = listed->Process(),
    .mWork = aChoice.mWork,
    .mTokensPerEvent = LoadTracker::TokensPerEvent(aRequest),
    .mPrefillBacklog = { .mAhead = pending.Ahead(urgency),
                         .mBehind = pending.Behind(urgency) },
    .mHolderAddress = holder != nullptr ? holder->mAddress : "",
    .mBackup = backup != nullptr ? backup->mId : "",
    .mBackupIncarnationNumber =
      backup != nullptr ? backup->mIncarnationNumber : 0,
    .mBackupAddress = backup != nullptr ? backup->mAddress : "",
    .mPriority = aRequest.mPriority,
    .mSentAt = aNow
  };
  mLoad.OnSent(aRequest, attempt, aNow);
  return attempt;
}

const ListedUpstream*
DirectRouter::HolderAt(const UpstreamId& aHolder, Millis aNow) const
{
  // Fetching from an upstream that doesn't respond would delay the request.
  const auto tracked = mTracked.find(aHolder);
  const bool silent = tracked != mTracked.end() &&
                      tracked->second.mWork.Silence(aNow) > kMaxHolderSilence;
  const bool mayFetch = IsHealthy(aHolder, aNow) && !silent &&
                        !mAvailability.IsPaused(aHolder, aNow);
  return mayFetch ? mDirectory.Find(aHolder) : nullptr;
}

double
DirectRouter::DemandScale() const
{
  const auto known = static_cast<double>(mPeers.Peers() + 1);
  return std::max(1.0, static_cast<double>(mEntries) / known);
}

DirectRouter::Candidates
DirectRouter::CandidatesFor(const BoundRequest& aRequest,
                            const std::set<UpstreamId>& aTried,
                            const PlacementWait& aWait,
                            Millis aNow)
{
  const bool repeatable = aRequest.mRoute->mRetryMode != RetryMode::AtMostOnce;
  const ConnectionLimits limits =
    ConnectionLimitsOf(*aRequest.mIndex, aRequest.mService);
  Candidates healthy;
  Candidates unhealthy;
  const auto& all = mDirectory.OfService(aRequest.mService);
  const PoolPositions& positions = mPools.PositionsFor(
    aRequest.mService,
    *aRequest.mRoute,
    all,
    { .mPauses = mPauses,
      .mPrefillPerMs = mEngineModel.PrefillPerMs(aRequest.mService),
      .mSlots = all.empty() ? 0 : all.front()->mSlots,
      .mDemandScale = DemandScale(),
      .mIsLeaving =
        [this](const ListedUpstream& aUpstream) {
          return IsLeaving(aUpstream);
        } },
    aNow);
  for (const ListedUpstream* each : all) {
    if (IsLeaving(*each) || aTried.contains(each->mId) ||
        (aRequest.mOrigin && (!MayContinueAt(*aRequest.mOrigin, *each) ||
                              !IsVersionKnown(aRequest, *each)))) {
      continue;
    }
    const TrackedUpstream& tracked = mTracked[each->mId];
    const UpstreamWork& work = tracked.mWork;
    if (!HasFreeConnection(each->mId, work.Open(), limits, aNow) ||
        mAvailability.WaitFor(each->mId, aNow) > Millis(0) ||
        !MayHavePermit(each->mId, aRequest.mRoutePriority, aWait, aNow)) {
      continue;
    }
    const auto position = positions.find(each->mId);
    const PlacementCandidate candidate{
      .mListed = each,
      .mWork = &work,
      .mCold = aNow < tracked.mColdUntil,
      .mPeerPending = mPeers.Pending(each->mId),
      .mPeerSilence = tracked.mPeerSilence.Silence(aNow),
      .mSlowness = mEngineModel.Slowness(each->mId, aNow),
      .mPoolPosition =
        position == positions.end() ? PoolPosition{} : position->second
    };
    // The address of a process that has ended may belong to another one.
    const bool ended = mCrashDetector.HasEnded(tracked.mIncarnation);
    const OutlierState state = mOutliers.State(each->mId, aNow);
    const bool mayProbe = repeatable || mProbeProbability(mRandom);
    if (state == OutlierState::Probing && mayProbe && work.Open() == 0 &&
        !ended) {
      return { candidate };
    }
    const bool isHealthy = state == OutlierState::Healthy && !ended;
    (isHealthy ? healthy : unhealthy).push_back(candidate);
  }
  Candidates& candidates = healthy.empty() ? unhealthy : healthy;
  mLoad.Describe(aRequest.mService, candidates, aNow);
  return std::move(candidates);
}

const ListedUpstream*
DirectRouter::BackupFor(const BoundRequest& aRequest,
                        const Candidates& aCandidates,
                        const UpstreamId& aChosen) const
{
  const RoutedService* service =
    aRequest.mIndex->FindService(aRequest.mService);
  const PromptShape& prompt = aRequest.mPrompt;
  const bool needsBackup =
    service != nullptr && service->mEngine && service->mEngine->mBackups &&
    aRequest.mRoute->mStream && prompt.mPromptTokens > 0 &&
    static_cast<double>(prompt.mMaxOutput) >=
      kBackupOutputShare * static_cast<double>(prompt.mPromptTokens);
  if (!needsBackup) {
    return nullptr;
  }
  // The run continues there if it breaks off.
  const ListedUpstream* chosen = mDirectory.Find(aChosen);
  const StreamOrigin origin{ .mService = chosen->mService,
                             .mVersion = chosen->mVersion };
  const ListedUpstream* best = nullptr;
  double leastLoad = 0;
  for (const PlacementCandidate& each : aCandidates) {
    if (!MayContinueAt(origin, *each.mListed)) {
      continue;
    }
    const double load =
      each.mWork->Open() + each.mPoolPosition.mDistance * kPoolDistanceLoad;
    if (each.mListed->mId != aChosen && (best == nullptr || load < leastLoad)) {
      best = each.mListed;
      leastLoad = load;
    }
  }
  return best;
}

} // namespace trefoilarch
