#include "workplacement.h"

#include "sessionengines.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilarch {

namespace {

/** Output tokens of a request of which nothing is known. */
constexpr uint32_t kUsualOutput = 100;

/** Ties are broken by chance within this, so that entries do not all send to
 * the same upstream. */
constexpr double kChanceMs = 1;

/** Weight of a silent millisecond: silence soon outweighs every other cost. */
constexpr double kSilenceWeight = 2;

/** What a request beyond the engine's slots waits for, in milliseconds, while
 * it isn't known how long answers take. */
constexpr double kUsualSlotMs = 50;

/** Less than this is not worth fetching from another engine: one that has
 * nothing to give costs some milliseconds all the same. */
constexpr uint32_t kLeastFetch = 150;

uint32_t
OutputOf(const PromptShape& aPrompt)
{
  uint32_t output = aPrompt.mExpectedOutput;
  if (output == 0) {
    output = aPrompt.mMaxOutput > 0 ? aPrompt.mMaxOutput / 2 : kUsualOutput;
  }
  return output;
}

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
                      EngineInfo aFacts,
                      Millis aNow)
{
  aFacts.mMeanBusy = MeanBusy(aCandidates, aNow);
  const EngineInfo* engine = aPrompt.mPromptTokens > 0 ? &aFacts : nullptr;
  const SessionEngines session(aCandidates, aPrompt);
  const uint32_t shared = aPrompt.SharedTokens();
  const auto last = mMemory.LastHolder(aPrompt, aFacts.mMemoryTokens, aNow);
  std::vector<Option> options;
  options.reserve(aCandidates.size());
  for (const PlacementCandidate& each : aCandidates) {
    Option option{ .mCandidate = &each,
                   .mPlaced = { .mUpstream = each.mListed->mId } };
    PlacementChoice& placed = option.mPlaced;
    if (engine != nullptr) {
      option.mKnown = mMemory.CachedTokens(
        each.mListed->mId, aPrompt, aFacts.mMemoryTokens, aNow);
      uint32_t held = option.mKnown;
      if (each.mListed == session.First()) {
        held = shared;
      } else if (each.mListed == session.Second()) {
        held = std::max(held, shared / 2);
      }
      placed.mWork.mPrefill =
        aPrompt.mPromptTokens - std::min(held, aPrompt.mPromptTokens);
      placed.mWork.mOutput = OutputOf(aPrompt);
      placed.mWork.mUrgency = aUrgency;
      placed.mMissing = shared - std::min(held, shared);
      placed.mFetchable = last.has_value();
    }
    option.mCost = CostOf(each, placed, engine, aNow);
    options.push_back(std::move(option));
  }
  const Option& chosen = Pick(options, engine, aNow);
  PlacementChoice best = chosen.mPlaced;
  const uint32_t bestHeld = chosen.mKnown;
  if (shared >= kLeastFetch && bestHeld < shared) {
    best.mHolder = HolderFor(session, last, best.mUpstream);
  }
  if (engine != nullptr) {
    best.mWaitMs = WaitMs(*chosen.mCandidate, aUrgency, aFacts, aNow);
  }
  if (engine != nullptr && aFacts.mPeersReporting && best.mHolder.empty()) {
    // What nobody is known to hold has to be read, wherever it is sent.
    best.mWork.mPrefill =
      aPrompt.mPromptTokens - std::min(bestHeld, aPrompt.mPromptTokens);
  }
  return best;
}

const WorkPlacement::Option&
WorkPlacement::Pick(const std::vector<Option>& aOptions,
                    const EngineInfo* aEngine,
                    Millis aNow)
{
  const auto least =
    std::min_element(aOptions.begin(),
                     aOptions.end(),
                     [](const Option& aLeft, const Option& aRight) {
                       return aLeft.mCost < aRight.mCost;
                     });
  const double spread =
    aEngine == nullptr || mOptions.mCost
      ? kChanceMs
      : std::max(kChanceMs, Uncertainty(*least->mCandidate, *aEngine, aNow));
  std::uniform_real_distribution<double> chance(0, spread);
  const uint32_t lane = least->mCandidate->mPoolPosition.mDistance;
  const Option* best = &*least;
  double bestCost = std::numeric_limits<double>::max();
  for (const Option& each : aOptions) {
    const bool near = each.mCost <= least->mCost + spread &&
                      each.mCandidate->mPoolPosition.mDistance == lane;
    const double cost = near ? each.mCost + chance(mRandom) : bestCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = &each;
    }
  }
  return *best;
}

double
WorkPlacement::Uncertainty(const PlacementCandidate& aCandidate,
                           const EngineInfo& aFacts,
                           Millis aNow) const
{
  const UpstreamWork& work = *aCandidate.mWork;
  // What was sent longer ago than an answer takes has ended again.
  const double age = std::min(static_cast<double>(work.ReportAge(aNow).Count()),
                              aFacts.mAnswerMs);
  const double sent = aFacts.mReportedPerMs * aFacts.mReportIntervalMs / 2 +
                      aFacts.mUnreportedPerMs * age;
  const double over =
    std::max(0.0,
             BusyAt(aCandidate, aFacts, aNow) + sent -
               static_cast<double>(aCandidate.mListed->mSlots));
  return std::min(sent, over) * SlotMs(*aCandidate.mListed, aFacts) *
         mOptions.mWaitWeight;
}

UpstreamId
WorkPlacement::HolderFor(const SessionEngines& aSession,
                         const std::optional<UpstreamId>& aLast,
                         const UpstreamId& aChosen)
{
  if (aLast) {
    return *aLast == aChosen ? UpstreamId() : *aLast;
  }
  const ListedUpstream* holder = aSession.HolderFor(aChosen);
  return holder != nullptr ? holder->mId : UpstreamId();
}

double
WorkPlacement::CostOf(const PlacementCandidate& aCandidate,
                      const PlacementChoice& aPlaced,
                      const EngineInfo* aEngine,
                      Millis aNow) const
{
  if (mOptions.mCost) {
    return mOptions.mCost(aCandidate, aPlaced, aNow);
  }
  return aEngine != nullptr ? EngineCost(aCandidate, aPlaced, *aEngine, aNow)
                            : PlainCost(aCandidate, aNow);
}

double
WorkPlacement::EngineCost(const PlacementCandidate& aCandidate,
                          const PlacementChoice& aPlaced,
                          const EngineInfo& aFacts,
                          Millis aNow) const
{
  // A caller may call its prompt shorter than its parts are.
  const double own = std::max(0.0,
                              static_cast<double>(aPlaced.mWork.mPrefill) -
                                static_cast<double>(aPlaced.mMissing));
  const double again =
    aPlaced.mMissing *
    (aPlaced.mFetchable ? mOptions.mFetchedWeight : mOptions.mSharedWeight);
  const double read =
    (own + again) / aFacts.mPrefillPerMs * aCandidate.mSlowness;
  const double wait = WaitMs(aCandidate, aPlaced.mWork.mUrgency, aFacts, aNow);
  return read + wait * mOptions.mWaitWeight +
         BusyAt(aCandidate, aFacts, aNow) * mOptions.mBusyMs +
         aCandidate.mPoolPosition.mDistance * mOptions.mOtherPoolMs +
         Distance(aCandidate, mOptions.mOtherDataCentreMs) +
         SilenceCost(aCandidate, aNow) +
         (aCandidate.mCold ? mOptions.mColdMs : 0);
}

double
WorkPlacement::WaitMs(const PlacementCandidate& aCandidate,
                      uint8_t aUrgency,
                      const EngineInfo& aFacts,
                      Millis aNow) const
{
  PendingPrefill pending = aCandidate.mWork->Pending();
  pending += aCandidate.mPeerPending;
  const auto before = static_cast<double>(pending.Ahead(aUrgency));
  const auto after = static_cast<double>(pending.Behind(aUrgency));
  const double tokens = before + after * aFacts.mBehindCost;
  const double all =
    aFacts.mPeersReporting ? tokens : tokens * mOptions.mSilentPeersFactor;
  // Of what waits for a slot, only what is as urgent goes before.
  const double waiting = before + after;
  const double ahead = waiting > 0 ? before / waiting : 1;
  const double over =
    ahead * std::max(0.0,
                     BusyAt(aCandidate, aFacts, aNow) -
                       static_cast<double>(aCandidate.mListed->mSlots));
  return all / aFacts.mPrefillPerMs * aCandidate.mSlowness +
         over * SlotMs(*aCandidate.mListed, aFacts);
}

double
WorkPlacement::BusyAt(const PlacementCandidate& aCandidate,
                      const EngineInfo& aFacts,
                      Millis aNow)
{
  const UpstreamWork& work = *aCandidate.mWork;
  if (!aFacts.mPeersReporting || aFacts.mAnswerMs <= 0) {
    return work.Busy(aNow);
  }
  // Entries that go by the same old news all send where it was best then. Of
  // what an engine had, as much is still there as of the answers of that time.
  const auto age = static_cast<double>(work.ReportAge(aNow).Count());
  const double left = std::exp(-age / aFacts.mAnswerMs);
  const double busy =
    aFacts.mMeanBusy + left * (work.Busy(aNow) - aFacts.mMeanBusy);
  return std::max<double>(busy, work.Open());
}

double
WorkPlacement::SlotMs(const ListedUpstream& aListed, const EngineInfo& aFacts)
{
  // One of the answers that fill an engine ends each so often.
  return aFacts.mAnswerMs > 0 ? aFacts.mAnswerMs / std::max(1U, aListed.mSlots)
                              : kUsualSlotMs;
}

double
WorkPlacement::PlainCost(const PlacementCandidate& aCandidate,
                         Millis aNow) const
{
  const double slots = std::max(1U, aCandidate.mListed->mSlots);
  const double share = aCandidate.mWork->Busy(aNow) / slots;
  return share * mOptions.mPlainCallMs +
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
  const Millis over = silence - mOptions.mNormalSilence;
  return std::max(0.0, kSilenceWeight * static_cast<double>(over.Count()));
}

} // namespace trefoilarch
