#include "workplacement.h"

#include "sessionengines.h"

#include <algorithm>
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

/** What a request beyond the engine's slots waits for, in milliseconds. */
constexpr double kOverSlotsMs = 50;

/** Less than this is not worth fetching from another engine: one that has
 * nothing to give costs some milliseconds all the same. */
constexpr uint32_t kLeastFetch = 150;

uint32_t
OutputOf(const PromptShape& aPrompt)
{
  uint32_t output = aPrompt.mLikelyOutput;
  if (output == 0) {
    output = aPrompt.mMostOutput > 0 ? aPrompt.mMostOutput / 2 : kUsualOutput;
  }
  return output;
}

} // namespace

WorkPlacement::WorkPlacement(WorkPlacementOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

Placed
WorkPlacement::Choose(const std::vector<PlacementCandidate>& aCandidates,
                      const PromptShape& aPrompt,
                      uint8_t aUrgency,
                      const EngineFacts& aFacts,
                      Millis aNow)
{
  std::uniform_real_distribution<double> chance(0, kChanceMs);
  const EngineFacts* engine = aPrompt.mPromptTokens > 0 ? &aFacts : nullptr;
  const SessionEngines session(aCandidates, aPrompt);
  const uint32_t shared = aPrompt.SharedTokens();
  const auto last = mMemory.LastHolder(aPrompt, aFacts.mMemoryTokens, aNow);
  Placed best;
  double bestCost = std::numeric_limits<double>::max();
  uint32_t bestHeld = 0;
  for (const PlacementCandidate& each : aCandidates) {
    Placed placed{ .mUpstream = each.mListed->mId };
    uint32_t known = 0;
    if (engine != nullptr) {
      known =
        mMemory.Held(each.mListed->mId, aPrompt, aFacts.mMemoryTokens, aNow);
      uint32_t held = known;
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
    const double cost = CostOf(each, placed, engine, aNow) + chance(mRandom);
    if (cost < bestCost) {
      bestCost = cost;
      bestHeld = known;
      best = std::move(placed);
    }
  }
  if (shared >= kLeastFetch && bestHeld < shared) {
    best.mHolder = HolderFor(session, last, best.mUpstream);
  }
  if (engine != nullptr && aFacts.mPeersHeard && best.mHolder.empty()) {
    // What nobody is known to hold has to be read, wherever it is sent.
    best.mWork.mPrefill =
      aPrompt.mPromptTokens - std::min(bestHeld, aPrompt.mPromptTokens);
  }
  return best;
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
                      const Placed& aPlaced,
                      const EngineFacts* aEngine,
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
                          const Placed& aPlaced,
                          const EngineFacts& aFacts,
                          Millis aNow) const
{
  // A caller may call its prompt shorter than its parts are.
  const double own = std::max(0.0,
                              static_cast<double>(aPlaced.mWork.mPrefill) -
                                static_cast<double>(aPlaced.mMissing));
  const double again =
    aPlaced.mMissing *
    (aPlaced.mFetchable ? mOptions.mFetchedWeight : mOptions.mSharedWeight);
  const double read = (own + again) / aFacts.mReadPerMs * aCandidate.mSlowness;
  const double wait = WaitMs(aCandidate, aPlaced.mWork.mUrgency, aFacts, aNow);
  return read + wait * mOptions.mWaitWeight +
         aCandidate.mWork->Busy(aNow) * mOptions.mBusyMs +
         aCandidate.mLane.mDistance * mOptions.mOtherLaneMs +
         Distance(aCandidate, mOptions.mOtherDataCentreMs) +
         SilenceCost(*aCandidate.mWork, aNow) +
         (aCandidate.mCold ? mOptions.mColdMs : 0);
}

double
WorkPlacement::WaitMs(const PlacementCandidate& aCandidate,
                      uint8_t aUrgency,
                      const EngineFacts& aFacts,
                      Millis aNow) const
{
  PendingReads pending = aCandidate.mWork->Pending();
  pending += aCandidate.mOthersPending;
  const double tokens =
    static_cast<double>(pending.Ahead(aUrgency)) +
    static_cast<double>(pending.Behind(aUrgency)) * aFacts.mBehindShare;
  const double all =
    aFacts.mPeersHeard ? tokens : tokens * mOptions.mOthersFactor;
  const double over =
    std::max(0.0,
             aCandidate.mWork->Busy(aNow) -
               static_cast<double>(aCandidate.mListed->mSlots));
  return all / aFacts.mReadPerMs * aCandidate.mSlowness + over * kOverSlotsMs;
}

double
WorkPlacement::PlainCost(const PlacementCandidate& aCandidate,
                         Millis aNow) const
{
  const double slots = std::max(1U, aCandidate.mListed->mSlots);
  const double share = aCandidate.mWork->Busy(aNow) / slots;
  return share * mOptions.mPlainCallMs +
         Distance(aCandidate, mOptions.mPlainOtherDataCentreMs) +
         SilenceCost(*aCandidate.mWork, aNow) +
         (aCandidate.mCold ? mOptions.mColdMs : 0);
}

double
WorkPlacement::Distance(const PlacementCandidate& aCandidate, double aMs) const
{
  return aCandidate.mListed->mDataCentre == mOptions.mDataCentre ? 0 : aMs;
}

double
WorkPlacement::SilenceCost(const UpstreamWork& aWork, Millis aNow) const
{
  const Millis over = aWork.Silence(aNow) - mOptions.mUsualSilence;
  return std::max(0.0, kSilenceWeight * static_cast<double>(over.Count()));
}

} // namespace trefoilarch
