#include "loadtracker.h"

#include "workplacement.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Weight of the newest call of a plain service in its mean time. */
constexpr double kNewestCallWeight = 0.05;

/** An output token's share of a step in a well filled batch, in
 * milliseconds. */
constexpr double kOutputTokenMs = 0.3;

/** EngineMemory::Expire() is to be called at least this often. */
constexpr Millis kExpireInterval{ 1000 };

/** Prompt tokens of the request's own. */
uint32_t
OwnTokens(const PromptShape& aPrompt)
{
  return aPrompt.mPromptTokens -
         std::min(aPrompt.mPromptTokens, aPrompt.SharedTokens());
}

std::vector<PromptSegment>
SharedSegments(const PromptShape& aPrompt)
{
  const auto end = aPrompt.mSegments.begin() +
                   static_cast<std::ptrdiff_t>(std::min(
                     aPrompt.mSharedSegments, aPrompt.mSegments.size()));
  return { aPrompt.mSegments.begin(), end };
}

/** 0 if the service has no engines or their memory is unknown. */
uint32_t
MemoryTokensOf(const BoundRequest& aRequest)
{
  const RoutedService* service =
    aRequest.mIndex->FindService(aRequest.mService);
  if (service == nullptr || !service->mEngine) {
    return 0;
  }
  return static_cast<uint32_t>(
    std::min<uint64_t>(service->mEngine->mMemoryTokens, UINT32_MAX));
}

uint32_t
TokensPerEventOf(const BoundRequest& aRequest)
{
  const RoutedService* service =
    aRequest.mIndex->FindService(aRequest.mService);
  const bool engine = service != nullptr && service->mEngine.has_value();
  return engine ? std::max(1U, service->mEngine->mTokensPerEvent) : 1;
}

} // namespace

LoadTracker::LoadTracker(LoadTrackerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mShares(mOptions.mShares)
{
}

void
LoadTracker::OnListed(const ListedUpstream& aListed, Millis aNow)
{
  mPerformance.OnListed(
    aListed.mId, aListed.mService, aListed.mStartTime.value_or(0), aNow);
}

void
LoadTracker::OnUnlisted(const UpstreamId& aUpstream, Millis aNow)
{
  mPerformance.OnUnlisted(aUpstream, aNow);
}

void
LoadTracker::OnIncarnationEnded(const UpstreamId& aUpstream, Millis aNow)
{
  mPerformance.OnUnlisted(aUpstream, aNow);
  mMemory.OnEngineEnded(aUpstream, aNow);
}

void
LoadTracker::SetWeights(const RoutePolicy& aPolicy)
{
  std::map<std::string, double> weights;
  for (const KeyedWorkspace& each : aPolicy.mWorkspaces) {
    if (each.mWeight != 1) {
      weights[each.mName] = each.mWeight;
    }
  }
  mShares.SetWeights(weights);
}

bool
LoadTracker::IsOn(PartMode aMode, const std::string& aService) const
{
  return aMode == PartMode::On ||
         (aMode == PartMode::Auto && mPerformance.StatesContention(aService));
}

bool
LoadTracker::UsesPerformance(const std::string& aService) const
{
  return IsOn(mOptions.mUpstreamPerformance, aService);
}

bool
LoadTracker::UsesMemory(const std::string& aService) const
{
  return IsOn(mOptions.mEngineMemory, aService);
}

bool
LoadTracker::UsesShares(const std::string& aService) const
{
  return IsOn(mOptions.mFairShares, aService);
}

void
LoadTracker::OnContention(const UpstreamId& aUpstream,
                          double aFactor,
                          Millis aNow)
{
  mContentionStated = true;
  mPerformance.OnContention(aUpstream, aFactor, aNow);
}

void
LoadTracker::OnSent(const BoundRequest& aRequest,
                    const PlacedAttempt& aAttempt,
                    Millis aNow)
{
  if (aRequest.mPrompt.mPromptTokens == 0) {
    return;
  }
  if (UsesMemory(aRequest.mService)) {
    // Without others there are no updates that call Expire().
    if (aNow - mExpiredAt >= kExpireInterval) {
      Expire(aNow);
    }
    mMemory.OnSent({ .mUpstream = aAttempt.mUpstream,
                     .mAttempt = aAttempt.mNumber,
                     .mPromptTokens = OwnTokens(aRequest.mPrompt),
                     .mShared = SharedSegments(aRequest.mPrompt),
                     .mExpectedOutput = aAttempt.mWork.mOutput,
                     .mRoute = aAttempt.mRoute },
                   aNow);
  }
}

uint32_t
LoadTracker::TokensPerEvent(const BoundRequest& aRequest)
{
  return aRequest.mRoute->mStream ? TokensPerEventOf(aRequest) : 0;
}

void
LoadTracker::OnStarted(const PlacedAttempt& aAttempt)
{
  if (aAttempt.mTokensPerEvent > 0) {
    mMemory.OnOutput(
      aAttempt.mUpstream, aAttempt.mNumber, aAttempt.mTokensPerEvent);
  }
}

void
LoadTracker::OnEvent(const PlacedAttempt& aAttempt,
                     const EngineView& aEngine,
                     Millis aPause,
                     Millis aNow)
{
  if (aAttempt.mTokensPerEvent == 0) {
    return;
  }
  mMemory.OnOutput(
    aAttempt.mUpstream, aAttempt.mNumber, aAttempt.mTokensPerEvent);
  if (!UsesPerformance(aAttempt.mService) || aAttempt.mWork.mOutput == 0) {
    return;
  }
  const EngineSituation situation = SituationAt(aEngine, aNow);
  const auto pauseMs = static_cast<double>(aPause.Count());
  const double expected = mPace.ExpectedEventMs(aAttempt.mService, situation);
  mPace.OnEvent(aAttempt.mService, situation, pauseMs, aNow);
  mPerformance.OnWork(aAttempt.mUpstream, pauseMs, expected, aNow);
}

void
LoadTracker::OnEnded(const PlacedAttempt& aAttempt, bool aWhole, Millis aNow)
{
  // Also for an answer without planned output: its prompt uses memory.
  mMemory.OnEnded(aAttempt.mUpstream,
                  aAttempt.mNumber,
                  aNow,
                  aWhole ? AnswerEnd::Whole : AnswerEnd::Cut);
  if (aAttempt.mWork.mOutput > 0 || !aWhole || !aAttempt.mStarted ||
      !UsesPerformance(aAttempt.mService)) {
    return;
  }
  const auto callMs =
    static_cast<double>((aAttempt.mStartedAt - aAttempt.mSentAt).Count());
  RunningMean& usual =
    mCallMs.try_emplace(aAttempt.mService, kNewestCallWeight).first->second;
  if (usual.Value() > 0) {
    mPerformance.OnWork(aAttempt.mUpstream, callMs, usual.Value(), aNow);
  }
  usual.Add(callMs / mPerformance.WorkFactor(aAttempt.mUpstream, aNow));
}

EngineSituation
LoadTracker::SituationAt(const EngineView& aEngine, Millis aNow) const
{
  PendingPrefill pending = aEngine.mWork.Pending();
  pending += aEngine.mPeerPending;
  const MemoryRoom room = mMemory.RoomAt(aEngine.mUpstream, 0, aNow);
  return { .mRunning = aEngine.mWork.Busy(aNow),
           .mPendingPromptTokens = static_cast<double>(pending.All()),
           .mContextTokens = static_cast<double>(room.mUsed),
           .mWorkFactor = mPerformance.WorkFactor(aEngine.mUpstream, aNow) };
}

void
LoadTracker::Describe(const std::string& aService,
                      std::vector<PlacementCandidate>& aCandidates,
                      Millis aNow) const
{
  if (!UsesPerformance(aService)) {
    return;
  }
  // The prefill isn't scaled by the factor: long prompts would crowd the fast
  // engines, which strict streams need.
  for (PlacementCandidate& each : aCandidates) {
    each.mWorkFactor = mPerformance.WorkFactor(each.mListed->mId, aNow);
  }
}

double
LoadTracker::PaceWeight(uint8_t aTier) const
{
  const auto& weights = mOptions.mPaceWeights;
  return weights[std::min<size_t>(aTier, weights.size() - 1)];
}

void
LoadTracker::SetPaceCost(const BoundRequest& aRequest,
                         EngineInfo& aInfo,
                         Millis aNow) const
{
  const Route& route = *aRequest.mRoute;
  if (!route.mStream || aRequest.mPrompt.mPromptTokens == 0 ||
      !UsesPerformance(aRequest.mService)) {
    return;
  }
  const auto msUntil = [aNow](Millis aTime) {
    return static_cast<double>((aTime - aNow).Count());
  };
  const PaceBounds bounds{
    .mFirstTokenMs = msUntil(aRequest.mArrivedAt + route.mFirstTokenTarget),
    .mPauseMs = static_cast<double>(route.mGapTarget.Count()),
    .mEndMs = msUntil(aRequest.mDeadline)
  };
  const double tokensPerEvent = TokensPerEventOf(aRequest);
  aInfo.mForecast =
    [this,
     bounds,
     tokensPerEvent,
     aNow,
     service = aRequest.mService,
     weight = PaceWeight(route.mPriority),
     perMs = aInfo.mPrefillPerMs](const PlacementCandidate& aCandidate,
                                  const AttemptWork& aWork) {
      const EngineView engine{ .mUpstream = aCandidate.mListed->mId,
                               .mWork = *aCandidate.mWork,
                               .mPeerPending = aCandidate.mPeerPending };
      const PaceRequest request{ .mPromptTokens =
                                   static_cast<double>(aWork.mPrefill),
                                 .mPromptTokensPerMs = perMs,
                                 .mEvents = aWork.mOutput / tokensPerEvent };
      const PaceForecast forecast =
        mPace.Forecast(service, SituationAt(engine, aNow), request);
      return PlacementForecast{
        .mPace = forecast,
        .mCostMs = weight * PaceCostMs(forecast, bounds, mOptions.mPaceCost)
      };
    };
}

std::optional<MemoryVerdict>
LoadTracker::CheckMemory(const BoundRequest& aRequest,
                         uint64_t aAttempt,
                         std::vector<PlacementCandidate>& aCandidates,
                         Millis aNow)
{
  const uint32_t capacity = MemoryTokensOf(aRequest);
  if (capacity == 0 || aCandidates.empty() ||
      aRequest.mPrompt.mPromptTokens == 0 || !UsesMemory(aRequest.mService)) {
    return std::nullopt;
  }
  std::vector<MemoryCandidate> candidates;
  candidates.reserve(aCandidates.size());
  for (const PlacementCandidate& each : aCandidates) {
    const EngineView engine{ .mUpstream = each.mListed->mId,
                             .mWork = *each.mWork,
                             .mPeerPending = each.mPeerPending };
    const EngineSituation situation = SituationAt(engine, aNow);
    const double eventMs = mPace.ExpectedEventMs(aRequest.mService, situation) *
                           situation.mWorkFactor;
    candidates.push_back({ .mUpstream = each.mListed->mId,
                           .mCapacityTokens = capacity,
                           .mTokenMs = eventMs / TokensPerEventOf(aRequest) });
  }
  const Millis firstTokenDue =
    aRequest.mArrivedAt + aRequest.mRoute->mFirstTokenTarget;
  MemoryVerdict verdict =
    mMemory.Decide(candidates,
                   { .mAttempt = aAttempt,
                     .mService = aRequest.mService,
                     .mRoute = aRequest.mRoute->mName,
                     .mPromptTokens = OwnTokens(aRequest.mPrompt),
                     .mShared = SharedSegments(aRequest.mPrompt),
                     .mExpectedOutput = aRequest.mPrompt.PlannedOutput(),
                     .mTier = aRequest.mRoutePriority,
                     .mFirstTokenLeft = firstTokenDue - aNow,
                     .mTimeLeft = aRequest.mDeadline - aNow },
                   aNow);
  // Both are in the order of the candidates.
  auto next = verdict.mUpstreams.begin();
  std::erase_if(aCandidates, [&](const PlacementCandidate& aCandidate) {
    const bool chosen =
      next != verdict.mUpstreams.end() && *next == aCandidate.mListed->mId;
    next += chosen ? 1 : 0;
    return !chosen;
  });
  return verdict;
}

ShareRequest
LoadTracker::ShareRequestOf(const BoundRequest& aRequest,
                            double aPrefillPerMs,
                            Millis aNow)
{
  const double promptMs = OwnTokens(aRequest.mPrompt) / aPrefillPerMs;
  const double outputMs = aRequest.mPrompt.PlannedOutput() * kOutputTokenMs;
  return { .mService = aRequest.mService,
           .mWorkspace = aRequest.mWorkspace,
           .mTier = aRequest.mRoutePriority,
           .mCostMs = promptMs + outputMs,
           .mCallerTime = aRequest.mDeadline - aNow };
}

bool
LoadTracker::HasShare(const BoundRequest& aRequest) const
{
  return !aRequest.mWorkspace.empty() && aRequest.mPrompt.mPromptTokens > 0 &&
         UsesShares(aRequest.mService);
}

ShareVerdict
LoadTracker::CheckShare(const BoundRequest& aRequest,
                        double aPrefillPerMs,
                        double aPressure,
                        Millis aNow)
{
  if (!HasShare(aRequest)) {
    return {};
  }
  Contention contention;
  const size_t tier =
    std::min<size_t>(aRequest.mRoutePriority, contention.mPressure.size() - 1);
  contention.mPressure[tier] = aPressure;
  return mShares.Admit(
    ShareRequestOf(aRequest, aPrefillPerMs, aNow), contention, aNow);
}

void
LoadTracker::OnShareUnused(const BoundRequest& aRequest,
                           double aPrefillPerMs,
                           Millis aNow)
{
  if (HasShare(aRequest)) {
    mShares.OnRefused(ShareRequestOf(aRequest, aPrefillPerMs, aNow), aNow);
  }
}

} // namespace trefoilarch
