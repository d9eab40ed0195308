#include "workplacement.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Output tokens of a request of which nothing is known. */
constexpr uint32_t kUsualOutput = 100;

/** Ties are broken by chance within this, so that entries do not all send to
 * the same upstream. */
constexpr double kChanceMs = 1;

/** Weight of a silent millisecond: silence soon outweighs every other cost. */
constexpr double kSilenceWeight = 2;

/** How much of a prefill the requests beside it lose: all of it, each; but
 * only those that would be late by it lose anything. */
constexpr double kStallShare = 0.2;

uint64_t
RankOf(uint64_t aSession, const UpstreamId& aUpstream)
{
  return XXH3_64bits_withSeed(aUpstream.data(), aUpstream.size(), aSession);
}

uint32_t
OutputOf(const PromptShape& aPrompt)
{
  uint32_t output = aPrompt.mLikelyOutput;
  if (output == 0) {
    output = aPrompt.mMostOutput > 0 ? aPrompt.mMostOutput / 2 : kUsualOutput;
  }
  return output;
}

uint32_t
SharedTokens(const PromptShape& aPrompt)
{
  uint32_t tokens = 0;
  for (const PromptPart& part : aPrompt.mParts) {
    tokens += part.mTokens;
  }
  return tokens;
}

const ListedUpstream*
PreferredOf(const std::vector<PlacementCandidate>& aCandidates,
            const PromptShape& aPrompt)
{
  if (aPrompt.mParts.empty()) {
    return nullptr;
  }
  const uint64_t session = aPrompt.mParts.back().mId;
  const ListedUpstream* best = nullptr;
  uint64_t bestRank = 0;
  for (const PlacementCandidate& each : aCandidates) {
    const uint64_t rank = RankOf(session, each.mListed->mId);
    if (best == nullptr || rank > bestRank) {
      best = each.mListed;
      bestRank = rank;
    }
  }
  return best;
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
                      Millis aNow)
{
  std::uniform_real_distribution<double> chance(0, kChanceMs);
  const bool engine = aPrompt.mPromptTokens > 0;
  const ListedUpstream* preferred = PreferredOf(aCandidates, aPrompt);
  const uint32_t shared = SharedTokens(aPrompt);
  Placed best;
  double bestCost = std::numeric_limits<double>::max();
  for (const PlacementCandidate& each : aCandidates) {
    AttemptWork work;
    if (engine) {
      const uint32_t held =
        each.mListed == preferred
          ? shared
          : mMemory.Held(each.mListed->mId, aPrompt, aNow);
      work.mPrefill =
        aPrompt.mPromptTokens - std::min(held, aPrompt.mPromptTokens);
      work.mOutput = OutputOf(aPrompt);
    }
    const double cost =
      (engine ? EngineCost(each, work, aNow) : PlainCost(each, aNow)) +
      chance(mRandom);
    if (cost < bestCost) {
      bestCost = cost;
      best = Placed{ .mUpstream = each.mListed->mId, .mWork = work };
    }
  }
  return best;
}

double
WorkPlacement::EngineCost(const PlacementCandidate& aCandidate,
                          const AttemptWork& aWork,
                          Millis aNow) const
{
  const double busy = aCandidate.mWork->Busy(aNow);
  const double read = aWork.mPrefill / mOptions.mPrefillPerMs;
  const double before =
    static_cast<double>(aCandidate.mWork->PendingPrefill()) /
    mOptions.mPrefillPerMs;
  const double steps = 2 * mOptions.mStepPerBusyMs * aWork.mOutput * busy;
  const double over =
    std::max(0.0, busy - static_cast<double>(aCandidate.mListed->mSlots));
  return read * (1 + kStallShare * busy) + before + steps +
         over * mOptions.mPlainCallMs +
         Distance(aCandidate, mOptions.mOtherDataCentreMs) +
         SilenceCost(*aCandidate.mWork, aNow);
}

double
WorkPlacement::PlainCost(const PlacementCandidate& aCandidate,
                         Millis aNow) const
{
  const double slots = std::max(1U, aCandidate.mListed->mSlots);
  const double share = aCandidate.mWork->Busy(aNow) / slots;
  return share * mOptions.mPlainCallMs +
         Distance(aCandidate, mOptions.mPlainOtherDataCentreMs) +
         SilenceCost(*aCandidate.mWork, aNow);
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
