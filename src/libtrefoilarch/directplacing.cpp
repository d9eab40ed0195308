#include "directrouter.h"

#include <algorithm>
#include <array>

/** Where DirectRouter sends requests, and when it takes none. */
namespace trefoilarch {

namespace {

/** How much longer a wait than others' a request of that priority may face
 * before it is refused, so that the less urgent are refused first. */
double
FavourOf(uint8_t aPriority)
{
  constexpr std::array kFavours = { 1.3, 1.0, 0.8, 0.65 };
  return kFavours[std::min<size_t>(aPriority, kFavours.size() - 1)];
}

/** A copy of a running request costs its prompt's memory on the links; it is
 * made where the answer may be at least so long beside the prompt. */
constexpr double kBackupOutputShare = 0.5;

/** An engine may say nothing for so long while it reads a long prompt. */
constexpr Millis kSilentHolder{ 800 };

/** An entry that hears the others refuses by its own rate of starts only at
 * so many times the wait: beyond what waits to be read, which it knows, there
 * are slots and memory, which it does not. Without it 0.96 of the most urgent
 * requests got whole answers in an overload of slots and memory, with it 0.998
 * (gatestest). */
constexpr double kHeardFavour = 1.8;

/** Callers come back when they are told to, if that is within a third of the
 * time that they have. */
constexpr int64_t kReturnPart = 3;

/** A lane's distance in open attempts, when a copy's place is chosen. */
constexpr double kLaneLoad = 20;

} // namespace

std::optional<Millis>
DirectRouter::Overload(const BoundRequest& aRequest, Millis aNow)
{
  const Route& route = *aRequest.mRoute;
  const Millis limit = aRequest.mDeadline - aRequest.mArrivedAt;
  const double favour = FavourOf(aRequest.mRoutePriority);
  // An entry that hears no other knows its own part of the work alone: then
  // the rate at which its requests start says more than any forecast.
  const bool knows = aRequest.mPrompt.mPromptTokens > 0 && mPeers.Peers() > 0;
  StartMeter& meter = mMeters[route.mName];
  if (!knows) {
    return meter.Refuse(route.mFirstTokenTarget, limit, favour, aNow);
  }
  if (const auto late = meter.Refuse(
        route.mFirstTokenTarget, limit, favour * kHeardFavour, aNow)) {
    return late;
  }
  const StartRequirements terms{ .mTarget = route.mFirstTokenTarget,
                                 .mLimit = limit,
                                 .mPriorityWeight = favour };
  const auto late = mEngineAdmission.Refuse(ForecastFor(aRequest, aNow), terms);
  if (!late) {
    return std::nullopt;
  }
  return ReturnIn(aRequest, *late, *late / 2);
}

Millis
DirectRouter::ReturnIn(const BoundRequest& aRequest,
                       Millis aLeast,
                       Millis aSpread)
{
  const Millis limit = aRequest.mDeadline - aRequest.mArrivedAt;
  std::uniform_int_distribution<int64_t> spread(0, aSpread.Count());
  return std::min(aLeast + Millis(spread(mRandom)), limit / kReturnPart);
}

StartForecast
DirectRouter::ForecastFor(const BoundRequest& aRequest, Millis aNow)
{
  const Candidates candidates = CandidatesFor(aRequest, {}, {}, aNow);
  if (candidates.empty()) {
    return {};
  }
  const EngineInfo facts = FactsOf(aRequest, aNow);
  const uint8_t urgency = aRequest.mRoutePriority;
  const PlacementChoice placed =
    mPlacement.Choose(candidates, aRequest.mPrompt, urgency, facts, aNow);
  return { .mWaitMs = placed.mWaitMs,
           .mPrefillMs = placed.mWork.mPrefill / facts.mPrefillPerMs +
                         mEngines.MinWaitMs(aRequest.mService),
           .mAnswerMs = mMeters[aRequest.mRoute->mName].AnswerMs() };
}

EngineInfo
DirectRouter::FactsOf(const BoundRequest& aRequest, Millis aNow) const
{
  const std::string& service = aRequest.mService;
  const RoutedService* listed = mIndex ? mIndex->FindService(service) : nullptr;
  const bool engine = listed != nullptr && listed->mEngine.has_value();
  const double perMs = mEngines.PrefillPerMs(service);
  const auto arrivals = mArrivals.find(service);
  const double rate =
    arrivals == mArrivals.end() ? 0 : arrivals->second.PerMs(aNow);
  const size_t engines =
    std::max<size_t>(1, mDirectory.OfService(service).size());
  const double perEngine = rate / static_cast<double>(engines);
  const size_t heard = mPeers.Peers();
  const size_t others = std::max(heard, mEntries - 1);
  return { .mPrefillPerMs = perMs,
           .mBehindCost = mEngines.PrefillMs(service, { .mBehind = 1 }) * perMs,
           .mMemoryTokens = engine ? listed->mEngine->mMemoryTokens : 0,
           .mAnswerMs = mEngines.AnswerMs(service),
           .mPeersReporting = heard > 0,
           .mReportedPerMs = perEngine * static_cast<double>(heard),
           .mUnreportedPerMs = perEngine * static_cast<double>(others - heard),
           .mReportIntervalMs = mPeers.MeanIntervalMs() };
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
  // A caller in the middle of its answer waits for no permit.
  if (!TakesWork(copy) || mLimits.Of(aBroken.mBackup)) {
    return std::nullopt;
  }
  const AttemptWork work{ .mOutput = aBroken.mWork.mOutput };
  mTracked[backup->mId].mWork.OnSent(work, aNow);
  RecordAttempt(aRequest, aNow);
  mMeters[aRequest.mRoute->mName].OnSent(aNow);
  return PlacedAttempt{ .mUpstream = backup->mId,
                        .mIncarnationNumber = backup->mIncarnationNumber,
                        .mFingerprint = aRequest.mFingerprint,
                        .mService = backup->mService,
                        .mRoute = aRequest.mRoute->mName,
                        .mAddress = backup->mAddress,
                        .mWork = work,
                        .mCopySourceAddress = aBroken.mAddress,
                        .mSentAt = aNow };
}

std::optional<PlacedAttempt>
DirectRouter::Place(const BoundRequest& aRequest,
                    const std::set<UpstreamId>& aTried,
                    Millis aNow)
{
  PermitWait wait{ .mMayRequest = false };
  return Place(aRequest, aTried, wait, aNow);
}

std::optional<PlacedAttempt>
DirectRouter::Place(const BoundRequest& aRequest,
                    const std::set<UpstreamId>& aTried,
                    PermitWait& aWait,
                    Millis aNow)
{
  Candidates candidates = CandidatesFor(aRequest, aTried, aWait, aNow);
  const uint8_t urgency = aRequest.mRoutePriority;
  while (!candidates.empty()) {
    const PlacementChoice placed = mPlacement.Choose(
      candidates, aRequest.mPrompt, urgency, FactsOf(aRequest, aNow), aNow);
    const UpstreamId& upstream = placed.mUpstream;
    if (TakePermit(upstream, urgency, aNow)) {
      return Send(aRequest, placed, candidates, aNow);
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
                   const PlacementChoice& aPlaced,
                   const Candidates& aCandidates,
                   Millis aNow)
{
  const uint8_t urgency = aRequest.mRoutePriority;
  const ListedUpstream* listed = mDirectory.Find(aPlaced.mUpstream);
  UpstreamWork& work = mTracked[aPlaced.mUpstream].mWork;
  work.OnSent(aPlaced.mWork, aNow);
  RecordAttempt(aRequest, aNow);
  PendingPrefill pending = work.Pending();
  pending += mPeers.Pending(aPlaced.mUpstream);
  TakeNote(aRequest.mPrompt, aPlaced, aNow);
  if (aRequest.mPrompt.mPromptTokens > 0) {
    mArrivals[aRequest.mService].OnArrival(aNow);
  }
  mMeters[aRequest.mRoute->mName].OnSent(aNow);
  const ListedUpstream* backup =
    BackupFor(aRequest, aCandidates, aPlaced.mUpstream);
  const ListedUpstream* holder = HolderAt(aPlaced.mHolder, aNow);
  return PlacedAttempt{
    .mUpstream = aPlaced.mUpstream,
    .mIncarnationNumber = listed->mIncarnationNumber,
    .mFingerprint = aRequest.mFingerprint,
    .mService = listed->mService,
    .mRoute = aRequest.mRoute->mName,
    .mAddress = listed->mAddress,
    .mWork = aPlaced.mWork,
    .mPrefillBacklog = { .mAhead = pending.Ahead(urgency),
                         .mBehind = pending.Behind(urgency) },
    .mHolderAddress = holder != nullptr ? holder->mAddress : "",
    .mBackup = backup != nullptr ? backup->mId : "",
    .mBackupIncarnationNumber =
      backup != nullptr ? backup->mIncarnationNumber : 0,
    .mBackupAddress = backup != nullptr ? backup->mAddress : "",
    .mSentAt = aNow
  };
}

const ListedUpstream*
DirectRouter::HolderAt(const UpstreamId& aHolder, Millis aNow) const
{
  // One that gives no answer would hold the request up.
  const auto tracked = mTracked.find(aHolder);
  const bool silent = tracked != mTracked.end() &&
                      tracked->second.mWork.Silence(aNow) > kSilentHolder;
  return IsHealthy(aHolder, aNow) && !silent ? mDirectory.Find(aHolder)
                                             : nullptr;
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
                            const PermitWait& aWait,
                            Millis aNow)
{
  const bool repeatable = aRequest.mRoute->mRetryMode != RetryMode::AtMostOnce;
  const uint32_t most = ConnectionsFor(aRequest);
  Candidates healthy;
  Candidates others;
  const auto& all = mDirectory.OfService(aRequest.mService);
  const PoolPositions& lanes = mLanes.PositionsFor(
    aRequest.mService,
    *aRequest.mRoute,
    all,
    { .mPauses = mPauses,
      .mPrefillPerMs = mEngines.PrefillPerMs(aRequest.mService),
      .mSlots = all.empty() ? 0 : all.front()->mSlots,
      .mDemandScale = DemandScale() },
    aNow);
  for (const ListedUpstream* each : all) {
    if (each->mLeaving || aTried.contains(each->mId)) {
      continue;
    }
    const TrackedUpstream& tracked = mTracked[each->mId];
    const UpstreamWork& work = tracked.mWork;
    if (work.Open() >= most ||
        !MayHavePermit(each->mId, aRequest.mRoutePriority, aWait, aNow)) {
      continue;
    }
    const auto lane = lanes.find(each->mId);
    const PlacementCandidate candidate{
      .mListed = each,
      .mWork = &work,
      .mCold = aNow < tracked.mColdUntil,
      .mPeerPending = mPeers.Pending(each->mId),
      .mPeerSilence = tracked.mPeerSilence.Silence(aNow),
      .mSlowness = mEngines.Slowness(each->mId, aNow),
      .mPoolPosition = lane == lanes.end() ? PoolPosition{} : lane->second
    };
    const OutlierState state = mOutliers.State(each->mId, aNow);
    const bool tries = repeatable || mProbeProbability(mRandom);
    if (state == OutlierState::Probing && tries && work.Open() == 0) {
      return { candidate };
    }
    (state == OutlierState::Healthy ? healthy : others).push_back(candidate);
  }
  return healthy.empty() ? others : healthy;
}

const ListedUpstream*
DirectRouter::BackupFor(const BoundRequest& aRequest,
                        const Candidates& aCandidates,
                        const UpstreamId& aChosen) const
{
  const RoutedService* service =
    aRequest.mIndex->FindService(aRequest.mService);
  const PromptShape& prompt = aRequest.mPrompt;
  const bool worthIt =
    service != nullptr && service->mEngine && service->mEngine->mBackups &&
    aRequest.mRoute->mStream && prompt.mPromptTokens > 0 &&
    static_cast<double>(prompt.mMaxOutput) >=
      kBackupOutputShare * static_cast<double>(prompt.mPromptTokens);
  if (!worthIt) {
    return nullptr;
  }
  const ListedUpstream* best = nullptr;
  double least = 0;
  for (const PlacementCandidate& each : aCandidates) {
    const double load =
      each.mWork->Open() + each.mPoolPosition.mDistance * kLaneLoad;
    if (each.mListed->mId != aChosen && (best == nullptr || load < least)) {
      best = each.mListed;
      least = load;
    }
  }
  return best;
}

uint32_t
DirectRouter::ConnectionsFor(const BoundRequest& aRequest) const
{
  const RoutedService* service =
    aRequest.mIndex->FindService(aRequest.mService);
  const uint32_t all = service == nullptr ? RoutedService{}.mMaxConnections
                                          : service->mMaxConnections;
  return std::max(1U, all / mOptions.mConnectionShare);
}

} // namespace trefoilarch
