#include "workplacement.h"

#include "sessionengines.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilarch {

namespace {

/** Smaller differences are decided at random, so that not all entries send to
 * the same upstream. */
constexpr double kTieBreakMs = 1;

/** Cost of a millisecond of silence; soon exceeds every other cost. */
constexpr double kSilenceWeight = 2;

/** Wait per request beyond the engine's slots, in milliseconds, while the
 * response time is unknown. */
constexpr double kDefaultSlotMs = 50;

/** Fewer are not worth a fetch from another engine, which costs some
 * milliseconds even if it has none of them. */
constexpr uint32_t kMinFetchTokens = 150;

double
MeanBusy(const std::vector<PlacementCandidate>& aCandidates, Millis aNow)
{
  double busy = 0;
  for (const PlacementCandidate& each : aCandidates) {
    busy += each.mWork->Busy(aNow);
  }
  return busy / static_cast<double>(aCandidates.size());
}

} // namespace

WorkPlacement::WorkPlacement(WorkPlacementOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

PlacementChoice
WorkPlacement::Choose(const std::vector<PlacementCandidate>& aCandidates,
                      const PromptShape& aPrompt,
                      uint8_t aUrgency,
                      EngineInfo aInfo,
                      Millis aNow)
{
  aInfo.mMeanBusy = MeanBusy(aCandidates, aNow);
  const EngineInfo* engine = aPrompt.mPromptTokens > 0 ? &aInfo : nullptr;
  const SessionEngines session(aCandidates, aPrompt);
  const uint32_t shared = aPrompt.SharedTokens();
  const auto lastHolder =
    mPrefixCaches.LastHolder(aPrompt, aInfo.mMemoryTokens, aNow);
  std::vector<Option> options;
  options.reserve(aCandidates.size());
  for (const PlacementCandidate& each : aCandidates) {
    Option option{ .mCandidate = &each,
                   .mChoice = { .mUpstream = each.mListed->mId } };
    PlacementChoice& choice = option.mChoice;
    if (engine != nullptr) {
      option.mCached = mPrefixCaches.CachedTokens(
        each.mListed->mId, aPrompt, aInfo.mMemoryTokens, aNow);
      uint32_t cached = option.mCached;
      if (each.mListed == session.First()) {
        cached = shared;
      } else if (each.mListed == session.Second()) {
        cached = std::max(cached, shared / 2);
      }
      choice.mWork.mPrefill =
        aPrompt.mPromptTokens - std::min(cached, aPrompt.mPromptTokens);
      choice.mWork.mOutput = aPrompt.PlannedOutput();
      choice.mWork.mUrgency = aUrgency;
      choice.mMissing = shared - std::min(cached, shared);
      choice.mFetchable = lastHolder.has_value();
    }
    if (engine != nullptr && aInfo.mForecast) {
      choice.mForecast = aInfo.mForecast(each, choice.mWork);
    }
    option.mCost = CostOf(each, choice, engine, aNow);
    options.push_back(std::move(option));
  }
  const Option& chosen = Pick(options, engine, aNow);
  PlacementChoice best = chosen.mChoice;
  const uint32_t bestCached = chosen.mCached;
  if (shared >= kMinFetchTokens && bestCached < shared) {
    best.mHolder = HolderFor(session, lastHolder, best.mUpstream);
  }
  if (engine != nullptr) {
    best.mWaitMs = WaitMs(*chosen.mCandidate, aUrgency, aInfo, aNow);
  }
  if (engine != nullptr && aInfo.mPeersReporting && best.mHolder.empty()) {
    // Tokens that no engine is known to have cached have to be prefilled at any
    // engine.
    best.mWork.mPrefill =
      aPrompt.mPromptTokens - std::min(bestCached, aPrompt.mPromptTokens);
  }
  return best;
}

const WorkPlacement::Option&
WorkPlacement::Pick(const std::vector<Option>& aOptions,
                    const EngineInfo* aEngine,
                    Millis aNow)
{
  const auto cheapest =
    std::min_element(aOptions.begin(),
                     aOptions.end(),
                     [](const Option& aLeft, const Option& aRight) {
                       return aLeft.mCost < aRight.mCost;
                     });
  const double spread =
    aEngine == nullptr || mOptions.mCost
      ? kTieBreakMs
      : std::max(kTieBreakMs,
                 Uncertainty(*cheapest->mCandidate, *aEngine, aNow));
  std::uniform_real_distribution<double> tieBreak(0, spread);
  const uint32_t distance = cheapest->mCandidate->mPoolPosition.mDistance;
  const Option* best = &*cheapest;
  double bestCost = std::numeric_limits<double>::max();
  for (const Option& each : aOptions) {
    const bool tied = each.mCost <= cheapest->mCost + spread &&
                      each.mCandidate->mPoolPosition.mDistance == distance;
    const double cost = tied ? each.mCost + tieBreak(mRandom) : bestCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = &each;
    }
  }
  return *best;
}

double
WorkPlacement::Uncertainty(const PlacementCandidate& aCandidate,
                           const EngineInfo& aInfo,
                           Millis aNow) const
{
  const UpstreamWork& work = *aCandidate.mWork;
  // Requests that were sent longer ago than a response takes have ended.
  const double age = std::min(static_cast<double>(work.ReportAge(aNow).Count()),
                              aInfo.mAnswerMs);
  const double sent = aInfo.mReportedPerMs * aInfo.mReportIntervalMs / 2 +
                      aInfo.mUnreportedPerMs * age;
  const double queued =
    std::max(0.0,
             EstimatedBusy(aCandidate, aInfo, aNow) + sent -
               static_cast<double>(aCandidate.mListed->mSlots));
  return std::min(sent, queued) * SlotMs(*aCandidate.mListed, aInfo) *
         mOptions.mWaitWeight;
}

UpstreamId
WorkPlacement::HolderFor(const SessionEngines& aSession,
                         const std::optional<UpstreamId>& aLastHolder,
                         const UpstreamId& aChosen)
{
  if (aLastHolder) {
    return *aLastHolder == aChosen ? UpstreamId() : *aLastHolder;
  }
  const ListedUpstream* holder = aSession.HolderFor(aChosen);
  return holder != nullptr ? holder->mId : UpstreamId();
}

double
WorkPlacement::CostOf(const PlacementCandidate& aCandidate,
                      const PlacementChoice& aChoice,
                      const EngineInfo* aEngine,
                      Millis aNow) const
{
  if (mOptions.mCost) {
    return mOptions.mCost(aCandidate, aChoice, aNow);
  }
  return aEngine != nullptr ? EngineCost(aCandidate, aChoice, *aEngine, aNow)
                            : PlainCost(aCandidate, aNow);
}

double
WorkPlacement::EngineCost(const PlacementCandidate& aCandidate,
                          const PlacementChoice& aChoice,
                          const EngineInfo& aInfo,
                          Millis aNow) const
{
  // A caller may state a prompt length below the sum of its segments.
  const double own = std::max(0.0,
                              static_cast<double>(aChoice.mWork.mPrefill) -
                                static_cast<double>(aChoice.mMissing));
  const double repeated =
    aChoice.mMissing *
    (aChoice.mFetchable ? mOptions.mFetchedWeight : mOptions.mSharedWeight);
  const double prefill =
    (own + repeated) / aInfo.mPrefillPerMs * aCandidate.mSlowness;
  const double wait = WaitMs(aCandidate, aChoice.mWork.mUrgency, aInfo, aNow);
  return prefill + wait * mOptions.mWaitWeight +
         EstimatedBusy(aCandidate, aInfo, aNow) * mOptions.mBusyMs +
         aCandidate.mPoolPosition.mDistance * mOptions.mOtherPoolMs +
         Distance(aCandidate, mOptions.mOtherDataCentreMs) +
         SilenceCost(aCandidate, aNow) +
         (aCandidate.mCold ? mOptions.mColdMs : 0) + aChoice.mForecast.mCostMs;
}

double
WorkPlacement::WaitMs(const PlacementCandidate& aCandidate,
                      uint8_t aUrgency,
                      const EngineInfo& aInfo,
                      Millis aNow) const
{
  PendingPrefill pending = aCandidate.mWork->Pending();
  pending += aCandidate.mPeerPending;
  const auto ahead = static_cast<double>(pending.Ahead(aUrgency));
  const auto behind = static_cast<double>(pending.Behind(aUrgency));
  const double tokens = ahead + behind * aInfo.mBehindCost;
  const double all =
    aInfo.mPeersReporting ? tokens : tokens * mOptions.mSilentPeersFactor;
  // Only requests that are at least as urgent are ahead in the wait for a slot.
  const double waiting = ahead + behind;
  const double aheadShare = waiting > 0 ? ahead / waiting : 1;
  const double queued =
    aheadShare * std::max(0.0,
                          EstimatedBusy(aCandidate, aInfo, aNow) -
                            static_cast<double>(aCandidate.mListed->mSlots));
  return all / aInfo.mPrefillPerMs * aCandidate.mSlowness +
         queued * SlotMs(*aCandidate.mListed, aInfo);
}

double
WorkPlacement::EstimatedBusy(const PlacementCandidate& aCandidate,
                             const EngineInfo& aInfo,
                             Millis aNow)
{
  const UpstreamWork& work = *aCandidate.mWork;
  if (!aInfo.mPeersReporting || aInfo.mAnswerMs <= 0) {
    return work.Busy(aNow);
  }
  // Entries with the same old report would all send to the engine that was best
  // then. Only responses that are still running by now count; the mean replaces
  // the rest.
  const auto age = static_cast<double>(work.ReportAge(aNow).Count());
  const double remaining = std::exp(-age / aInfo.mAnswerMs);
  const double busy =
    aInfo.mMeanBusy + remaining * (work.Busy(aNow) - aInfo.mMeanBusy);
  return std::max<double>(busy, work.Open());
}

double
WorkPlacement::SlotMs(const ListedUpstream& aListed, const EngineInfo& aInfo)
{
  // One of the responses on a full engine ends in each such interval.
  return aInfo.mAnswerMs > 0 ? aInfo.mAnswerMs / std::max(1U, aListed.mSlots)
                             : kDefaultSlotMs;
}

double
WorkPlacement::PlainCost(const PlacementCandidate& aCandidate,
                         Millis aNow) const
{
  const double slots = std::max(1U, aCandidate.mListed->mSlots);
  const double share = aCandidate.mWork->Busy(aNow) / slots;
  // A slower upstream prolongs both the calls ahead and this one.
  const double factor = aCandidate.mWorkFactor;
  return (share * factor + (factor - 1)) * mOptions.mPlainCallMs +
         Distance(aCandidate, mOptions.mPlainOtherDataCentreMs) +
         SilenceCost(aCandidate, aNow) +
         (aCandidate.mCold ? mOptions.mColdMs : 0);
}

double
WorkPlacement::Distance(const PlacementCandidate& aCandidate, double aMs) const
{
  return aCandidate.mListed->mDataCentre == mOptions.mDataCentre ? 0 : aMs;
}

double
WorkPlacement::SilenceCost(const PlacementCandidate& aCandidate,
                           Millis aNow) const
{
  const Millis silence =
    std::max(aCandidate.mWork->Silence(aNow), aCandidate.mPeerSilence);
  const Millis excess = silence - mOptions.mNormalSilence;
  return std::max(0.0, kSilenceWeight * static_cast<double>(excess.Count()));
}

} // namespace trefoilarch
