#include "directrouter.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoilarch {

namespace {

/** Why a caller should come back soon: another entry may know more. */
constexpr Millis kComeBack{ 250 };

/** When to come back after a refusal for the sake of more urgent requests. */
constexpr Millis kPressedReturn{ 500 };

Refusal
Refuse(ErrorKind aKind, std::string aMessage)
{
  return Refusal{ .mKind = aKind,
                  .mRan = Ran::No,
                  .mRetryAfter =
                    AnswerFor(aKind).mWorthRetrying ? kComeBack : Millis(0),
                  .mMessage = std::move(aMessage) };
}

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

/** Prompts that are kept to be told to other entries; what is beyond these
 * others read again at worst. */
constexpr size_t kMostSent = 64;

/** An entry that hears the others refuses by its own rate of starts only at
 * so many times the wait: beyond what waits to be read, which it knows, there
 * are slots and memory, which it does not. */
constexpr double kHeardFavour = 1.8;

/** Callers come back when they are told to, if that is within a third of the
 * time that they have. */
constexpr int64_t kReturnPart = 3;

/** A lane's distance in open attempts, when a copy's place is chosen. */
constexpr double kLaneLoad = 20;

} // namespace

DirectRouter::DirectRouter(DirectRouterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mOutliers(mOptions.mOutliers)
  , mPlacement({ .mDataCentre = mOptions.mDataCentre,
                 .mCost = mOptions.mPlacementCost,
                 .mSeed = mOptions.mSeed })
  , mTiers(mOptions.mSeed)
  , mRetries(mOptions.mRetries)
  , mRandom(mOptions.mSeed)
{
  mProcess = mRandom();
}

bool
DirectRouter::SetPolicy(std::shared_ptr<const RoutePolicy> aPolicy)
{
  if (mIndex && aPolicy->mVersion <= mIndex->Version()) {
    return false;
  }
  mIndex = std::make_shared<RouteIndex>(std::move(aPolicy));
  return true;
}

std::vector<UpstreamId>
DirectRouter::OnDirectoryChanged(Millis aNow)
{
  std::vector<UpstreamId> startedAgain;
  for (auto& [id, tracked] : mTracked) {
    tracked.mListed = false;
  }
  for (const auto& [id, listed] : mDirectory.All()) {
    const auto [place, fresh] = mTracked.try_emplace(id);
    Tracked& tracked = place->second;
    tracked.mListed = true;
    if (!fresh && tracked.mLife != listed.mLife) {
      ForgetLife(id, tracked);
      startedAgain.push_back(id);
    }
    if (tracked.mLife != listed.mLife) {
      tracked.mLife = listed.mLife;
      tracked.mColdUntil = aNow + listed.mColdFor;
    }
    tracked.mService = listed.mService;
    mOutliers.Add(id, listed.mService);
  }
  std::erase_if(mTracked, [this](const auto& aEntry) {
    const auto& [id, tracked] = aEntry;
    if (tracked.mListed) {
      return false;
    }
    mOutliers.Remove(id);
    mEngines.Forget(id);
    mPlacement.Memory().Forget(id);
    return tracked.mWork.Open() == 0;
  });
  return startedAgain;
}

void
DirectRouter::ForgetLife(const UpstreamId& aUpstream, Tracked& aTracked)
{
  mOutliers.Reset(aUpstream);
  mEngines.Forget(aUpstream);
  mPlacement.Memory().Forget(aUpstream);
  aTracked.mWork = UpstreamWork();
}

DirectRouter::Tracked*
DirectRouter::TrackedFor(const PlacedAttempt& aAttempt)
{
  const auto tracked = mTracked.find(aAttempt.mUpstream);
  const bool same =
    tracked != mTracked.end() && tracked->second.mLife == aAttempt.mLife;
  return same ? &tracked->second : nullptr;
}

Result<BoundRequest>
DirectRouter::Bind(const RequestFacts& aFacts, Millis aNow)
{
  if (!mIndex) {
    return Fail(Refuse(ErrorKind::PolicyUnknown, "no policy yet"));
  }
  const bool recent = mPolicyFreshness.IsWithin(mOptions.mPolicySpan, aNow);
  const Route* route = mIndex->Find(aFacts.mHost, aFacts.mPath);
  if (route == nullptr) {
    return Fail(Refuse(
      recent ? ErrorKind::UnknownRoute : ErrorKind::PolicyStale, "no route"));
  }
  BoundRequest bound{ .mIndex = mIndex,
                      .mRoute = route,
                      .mPriority = route->mPriority,
                      .mRoutePriority = route->mPriority,
                      .mPrompt = aFacts.mPrompt,
                      .mArrived = aFacts.mArrived };
  if (!route->mPublic && !mIndex->Policy().mWorkspaces.empty()) {
    if (!mPolicyFreshness.IsWithin(mOptions.mKeySpan, aNow)) {
      return Fail(Refuse(ErrorKind::PolicyStale, "keys can't be checked"));
    }
    const KeyedWorkspace* workspace = mIndex->WorkspaceOf(aFacts.mKey);
    if (workspace == nullptr) {
      return Fail(Refuse(recent ? ErrorKind::BadToken : ErrorKind::PolicyStale,
                         "unknown key"));
    }
    bound.mWorkspace = workspace->mName;
    bound.mKey = aFacts.mKey;
    bound.mPriority = workspace->mPriority.value_or(route->mPriority);
  }
  const Millis span =
    std::min(route->mTimeout, aFacts.mPatience.value_or(route->mTimeout));
  bound.mEnd = aFacts.mArrived + span;
  bound.mService = ServiceFor(*route);
  bound.mPrompt.mShared = mShared.OnPrompt(route->mName, bound.mPrompt);
  mLanes.OnRequest(bound.mService, *route, bound.mPrompt, aNow);
  const auto comeBack = Overload(bound, aNow);
  if (mTiers.Refuses(
        bound.mService, route->mPriority, comeBack.has_value(), aNow)) {
    return Fail(Refusal{ .mKind = ErrorKind::Shed,
                         .mRan = Ran::No,
                         .mRetryAfter = comeBack.value_or(kPressedReturn),
                         .mMessage = "would start too late" });
  }
  mRetries.OnFirstAttempt(bound.mService);
  return bound;
}

bool
DirectRouter::StillAllowed(const BoundRequest& aRequest, Millis aNow) const
{
  if (aRequest.mWorkspace.empty()) {
    return true;
  }
  const KeyedWorkspace* workspace = mIndex->WorkspaceOf(aRequest.mKey);
  return mPolicyFreshness.IsWithin(mOptions.mKeySpan, aNow) &&
         workspace != nullptr && workspace->mName == aRequest.mWorkspace;
}

std::optional<Millis>
DirectRouter::Overload(const BoundRequest& aRequest, Millis aNow)
{
  const Route& route = *aRequest.mRoute;
  const Millis limit = aRequest.mEnd - aRequest.mArrived;
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
  const StartTerms terms{ .mTarget = route.mFirstTokenTarget,
                          .mLimit = limit,
                          .mFavour = favour };
  const auto late = mEngineAdmission.Refuse(ForecastFor(aRequest, aNow), terms);
  if (!late) {
    return std::nullopt;
  }
  // Those that are refused together do not come back together.
  std::uniform_int_distribution<int64_t> spread(0, late->Count() / 2);
  return std::min(*late + Millis(spread(mRandom)), limit / kReturnPart);
}

ForecastStart
DirectRouter::ForecastFor(const BoundRequest& aRequest, Millis aNow)
{
  const Candidates candidates = CandidatesFor(aRequest, {}, aNow);
  if (candidates.empty()) {
    return {};
  }
  const EngineFacts facts = FactsOf(aRequest.mService);
  const uint8_t urgency = aRequest.mRoutePriority;
  const Placed placed =
    mPlacement.Choose(candidates, aRequest.mPrompt, urgency, facts, aNow);
  const auto chosen =
    std::find_if(candidates.begin(), candidates.end(), [&](const auto& aEach) {
      return aEach.mListed->mId == placed.mUpstream;
    });
  return { .mWaitMs = mPlacement.WaitMs(*chosen, urgency, facts, aNow),
           .mReadMs = placed.mWork.mPrefill / facts.mReadPerMs +
                      mEngines.LeastWaitMs(aRequest.mService),
           .mAnswerMs = mMeters[aRequest.mRoute->mName].AnswerMs() };
}

EngineFacts
DirectRouter::FactsOf(const std::string& aService) const
{
  const RoutedService* service =
    mIndex ? mIndex->ServiceNamed(aService) : nullptr;
  const bool engine = service != nullptr && service->mEngine.has_value();
  const double perMs = mEngines.ReadPerMs(aService);
  return { .mReadPerMs = perMs,
           .mBehindShare =
             mEngines.ReadingMs(aService, { .mBehind = 1 }) * perMs,
           .mMemoryTokens = engine ? service->mEngine->mMemoryTokens : 0,
           .mPeersHeard = mPeers.Peers() > 0 };
}

void
DirectRouter::TakeNote(const PromptShape& aPrompt,
                       const Placed& aPlaced,
                       Millis aNow)
{
  if (aPrompt.mPromptTokens == 0) {
    return;
  }
  SentPrompt sent{ .mUpstream = aPlaced.mUpstream,
                   .mParts = aPrompt.SharedIds(),
                   .mTokens = aPlaced.mWork.mPrefill + aPlaced.mWork.mOutput };
  mPlacement.Memory().OnSent(sent.mUpstream, sent.mParts, sent.mTokens, aNow);
  mHasNotes = true;
  if (mSent.size() < kMostSent) {
    mSent.push_back(std::move(sent));
  }
}

PeerNotes
DirectRouter::TakeNotes()
{
  PeerNotes notes{ .mFrom = mOptions.mName,
                   .mProcess = mProcess,
                   .mSequence = ++mNotes,
                   .mSent = std::exchange(mSent, {}) };
  for (const auto& [id, tracked] : mTracked) {
    if (tracked.mWork.Pending().All() > 0) {
      notes.mPending.push_back({ id, tracked.mWork.Pending() });
    }
  }
  mHasNotes = false;
  return notes;
}

void
DirectRouter::OnPeerNotes(const PeerNotes& aNotes, Millis aNow)
{
  mPeers.Expire(aNow);
  if (!mPeers.Take(aNotes, aNow)) {
    return;
  }
  for (const SentPrompt& each : aNotes.mSent) {
    if (mDirectory.Find(each.mUpstream) != nullptr) {
      mPlacement.Memory().OnSent(
        each.mUpstream, each.mParts, each.mTokens, aNow);
    }
  }
}

void
DirectRouter::OnPause(const PlacedAttempt& aAttempt, Millis aPause, Millis aNow)
{
  mPauses.OnPause(aAttempt.mRoute, aPause, aNow);
}

std::optional<PlacedAttempt>
DirectRouter::PlaceAtBackup(const BoundRequest& aRequest,
                            const PlacedAttempt& aBroken,
                            Millis aNow)
{
  const ListedUpstream* backup = mDirectory.Find(aBroken.mBackup);
  const bool gone = backup == nullptr || backup->mLeaving ||
                    backup->mLife != aBroken.mBackupLife;
  if (gone) {
    return std::nullopt;
  }
  const AttemptWork work{ .mOutput = aBroken.mWork.mOutput };
  mTracked[backup->mId].mWork.OnSent(work, aNow);
  mMeters[aRequest.mRoute->mName].OnSent(aNow);
  return PlacedAttempt{ .mUpstream = backup->mId,
                        .mLife = backup->mLife,
                        .mService = backup->mService,
                        .mRoute = aRequest.mRoute->mName,
                        .mAddress = backup->mAddress,
                        .mWork = work,
                        .mCopyOf = aBroken.mAddress,
                        .mSentAt = aNow };
}

std::optional<PlacedAttempt>
DirectRouter::Place(const BoundRequest& aRequest,
                    const std::set<UpstreamId>& aTried,
                    Millis aNow)
{
  const Candidates candidates = CandidatesFor(aRequest, aTried, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const uint8_t urgency = aRequest.mRoutePriority;
  const Placed placed = mPlacement.Choose(
    candidates, aRequest.mPrompt, urgency, FactsOf(aRequest.mService), aNow);
  const ListedUpstream* listed = mDirectory.Find(placed.mUpstream);
  UpstreamWork& work = mTracked[placed.mUpstream].mWork;
  work.OnSent(placed.mWork, aNow);
  PendingReads pending = work.Pending();
  pending += mPeers.Pending(placed.mUpstream);
  TakeNote(aRequest.mPrompt, placed, aNow);
  mMeters[aRequest.mRoute->mName].OnSent(aNow);
  const ListedUpstream* backup =
    BackupFor(aRequest, candidates, placed.mUpstream);
  const ListedUpstream* holder = HolderAt(placed.mHolder, aNow);
  return PlacedAttempt{ .mUpstream = placed.mUpstream,
                        .mLife = listed->mLife,
                        .mService = listed->mService,
                        .mRoute = aRequest.mRoute->mName,
                        .mAddress = listed->mAddress,
                        .mWork = placed.mWork,
                        .mReads = { .mAhead = pending.Ahead(urgency),
                                    .mBehind = pending.Behind(urgency) },
                        .mHolderAddress =
                          holder != nullptr ? holder->mAddress : "",
                        .mBackup = backup != nullptr ? backup->mId : "",
                        .mBackupLife = backup != nullptr ? backup->mLife : 0,
                        .mBackupAddress =
                          backup != nullptr ? backup->mAddress : "",
                        .mSentAt = aNow };
}

bool
DirectRouter::TakeRetry(const std::string& aService)
{
  return mRetries.TakeRetry(aService);
}

double
DirectRouter::RetriesLeft(const std::string& aService) const
{
  return mRetries.Left(aService);
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

void
DirectRouter::OnHeard(const PlacedAttempt& aAttempt, Millis aNow)
{
  if (Tracked* tracked = TrackedFor(aAttempt)) {
    tracked->mWork.OnHeard(aNow);
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
  mMeters[aAttempt.mRoute].OnStarted(aAttempt.mSentAt, aNow);
  if (Tracked* tracked = TrackedFor(aAttempt)) {
    tracked->mWork.OnStarted(aAttempt.mWork);
    const Millis took = aNow - aAttempt.mSentAt;
    mOutliers.OnFirstToken(aAttempt.mUpstream, took, aNow);
    if (aAttempt.mWork.mPrefill > 0) {
      mEngines.OnStarted(
        aAttempt.mService, aAttempt.mUpstream, aAttempt.mReads, took, aNow);
      mHasNotes = true;
    }
  }
}

void
DirectRouter::OnReport(const PlacedAttempt& aAttempt,
                       const ReportedLoad& aLoad,
                       Millis aNow)
{
  if (Tracked* tracked = TrackedFor(aAttempt)) {
    tracked->mWork.OnReport(aLoad, aNow);
  }
}

void
DirectRouter::OnEnded(const PlacedAttempt& aAttempt,
                      AttemptOutcome aOutcome,
                      Millis aNow)
{
  Tracked* tracked = TrackedFor(aAttempt);
  if (tracked != nullptr) {
    mHasNotes = mHasNotes || !aAttempt.mStarted;
    tracked->mWork.OnEnded(aAttempt.mWork, aAttempt.mStarted);
    if (!tracked->mListed && tracked->mWork.Open() == 0) {
      mTracked.erase(aAttempt.mUpstream);
    }
  }
  if (aAttempt.mStarted) {
    mMeters[aAttempt.mRoute].OnEnded(aAttempt.mStartedAt, aNow);
    mPauses.OnStream(aAttempt.mRoute, aNow);
  } else {
    mMeters[aAttempt.mRoute].OnGivenUp(aAttempt.mSentAt);
  }
  const bool speaksAgainst =
    aOutcome != AttemptOutcome::Good && aOutcome != AttemptOutcome::Withdrawn;
  if (speaksAgainst && tracked != nullptr) {
    mOutliers.OnFailure(aAttempt.mUpstream, aNow);
  }
}

OutlierState
DirectRouter::StateOf(const UpstreamId& aUpstream, Millis aNow) const
{
  return mOutliers.State(aUpstream, aNow);
}

std::string
DirectRouter::DumpState(Millis aNow) const
{
  nlohmann::json dump;
  dump["policy_version"] = mIndex ? mIndex->Version() : 0;
  dump["policy_age_ms"] = mPolicyFreshness.Age(aNow).Count();
  nlohmann::json& upstreams = dump["upstreams"] = nlohmann::json::object();
  for (const auto& [id, tracked] : mTracked) {
    const ListedUpstream* listed = mDirectory.Find(id);
    nlohmann::json& each = upstreams[id];
    each["service"] = tracked.mService;
    each["listed"] = tracked.mListed;
    each["leaving"] = listed != nullptr && listed->mLeaving;
    each["open"] = tracked.mWork.Open();
    each["busy"] = tracked.mWork.Busy(aNow);
    each["silent_ms"] = tracked.mWork.Silence(aNow).Count();
    each["outlier"] = !IsHealthy(id, aNow);
  }
  return dump.dump();
}

nlohmann::json
DirectRouter::Status(Millis aNow) const
{
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, listed] : mDirectory.All()) {
    const auto tracked = mTracked.find(id);
    const bool known = tracked != mTracked.end();
    upstreams.push_back(
      { { "name", id },
        { "data_centre", listed.mDataCentre },
        { "state", StateName(listed, aNow) },
        { "labels", { { "service", listed.mService } } },
        { "load",
          { { "open", known ? tracked->second.mWork.Open() : 0 },
            { "busy", known ? tracked->second.mWork.Busy(aNow) : 0 } } } });
  }
  return { { "policy_version", mIndex ? mIndex->Version() : 0 },
           { "upstreams", std::move(upstreams) } };
}

std::map<std::string, uint32_t>
DirectRouter::UpstreamsByState(Millis aNow) const
{
  std::map<std::string, uint32_t> counts{ { "ready", 0 },
                                          { "ejected", 0 },
                                          { "draining", 0 } };
  for (const auto& [id, listed] : mDirectory.All()) {
    counts[StateName(listed, aNow)]++;
  }
  return counts;
}

const char*
DirectRouter::StateName(const ListedUpstream& aListed, Millis aNow) const
{
  if (aListed.mLeaving) {
    return "draining";
  }
  return IsHealthy(aListed.mId, aNow) ? "ready" : "ejected";
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

DirectRouter::Candidates
DirectRouter::CandidatesFor(const BoundRequest& aRequest,
                            const std::set<UpstreamId>& aTried,
                            Millis aNow)
{
  const bool repeatable = aRequest.mRoute->mRepeat != RepeatRule::AtMostOnce;
  const uint32_t most = ConnectionsFor(aRequest);
  Candidates healthy;
  Candidates others;
  const auto& all = mDirectory.OfService(aRequest.mService);
  const LanePlaces& lanes = mLanes.PlacesFor(
    aRequest.mService,
    *aRequest.mRoute,
    all,
    { .mPauses = mPauses, .mReadPerMs = mEngines.ReadPerMs(aRequest.mService) },
    aNow);
  for (const ListedUpstream* each : all) {
    if (each->mLeaving || aTried.contains(each->mId)) {
      continue;
    }
    const Tracked& tracked = mTracked[each->mId];
    const UpstreamWork& work = tracked.mWork;
    if (work.Open() >= most) {
      continue;
    }
    const auto lane = lanes.find(each->mId);
    const PlacementCandidate candidate{
      .mListed = each,
      .mWork = &work,
      .mCold = aNow < tracked.mColdUntil,
      .mOthersPending = mPeers.Pending(each->mId),
      .mSlowness = mEngines.Slowness(each->mId, aNow),
      .mLane = lane == lanes.end() ? LanePlace{} : lane->second
    };
    const OutlierState state = mOutliers.State(each->mId, aNow);
    const bool tries = repeatable || mTrialChance(mRandom);
    if (state == OutlierState::Trial && tries && work.Open() == 0) {
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
    aRequest.mIndex->ServiceNamed(aRequest.mService);
  const PromptShape& prompt = aRequest.mPrompt;
  const bool worthIt =
    service != nullptr && service->mEngine && service->mEngine->mBackups &&
    aRequest.mRoute->mStream && prompt.mPromptTokens > 0 &&
    static_cast<double>(prompt.mMostOutput) >=
      kBackupOutputShare * static_cast<double>(prompt.mPromptTokens);
  if (!worthIt) {
    return nullptr;
  }
  const ListedUpstream* best = nullptr;
  double least = 0;
  for (const PlacementCandidate& each : aCandidates) {
    const double load = each.mWork->Open() + each.mLane.mDistance * kLaneLoad;
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
    aRequest.mIndex->ServiceNamed(aRequest.mService);
  const uint32_t all = service == nullptr ? RoutedService{}.mMostConnections
                                          : service->mMostConnections;
  return std::max(1U, all / mOptions.mConnectionShare);
}

} // namespace trefoilarch
