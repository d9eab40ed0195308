#include "placement.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How long a set's mean load is used before it is computed again. */
constexpr Millis kMeanInterval{ 100 };

/** Running and waiting calls that count as the full token capacity. */
constexpr double kCallsPerCapacity = 256;

/**
 * Load of a millisecond of round-trip time: an upstream's capacity becomes free
 * in about the time of one response, some seconds.
 */
constexpr double kLoadPerRoundTripMs = 0.0005;

/** Load of another data centre: the own one is preferred at equal load. */
constexpr double kOtherDataCentreLoad = 0.02;

} // namespace

Placement::Placement(PlacementOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

std::vector<UpstreamLink*>
Placement::Choose(RankedSet& aSet,
                  uint64_t aPrefixHash,
                  size_t aCount,
                  const LinkFilter& aUsable,
                  Millis aNow)
{
  std::vector<UpstreamLink*> chosen;
  const LinkFilter usable = [&](const UpstreamLink& aLink) {
    return std::find(chosen.begin(), chosen.end(), &aLink) == chosen.end() &&
           aUsable(aLink);
  };
  if (aPrefixHash != 0 && aCount > 0) {
    UpstreamLink* link = ChoosePreferred(aSet, aPrefixHash, usable, aNow);
    if (link) {
      chosen.push_back(link);
    }
  }
  while (chosen.size() < aCount) {
    UpstreamLink* link = ChooseByLoad(aSet, usable);
    if (!link) {
      break;
    }
    chosen.push_back(link);
  }
  return chosen;
}

UpstreamLink*
Placement::ChoosePreferred(RankedSet& aSet,
                           uint64_t aPrefixHash,
                           const LinkFilter& aUsable,
                           Millis aNow)
{
  const double maxScore =
    MeanScore(aSet, aNow) * mOptions.mLoadBound + mOptions.mLoadSlack;
  for (UpstreamLink* link : aSet.PreferredFor(aPrefixHash)) {
    if (link && aUsable(*link) && Score(*link) <= maxScore) {
      return link;
    }
  }
  return nullptr;
}

UpstreamLink*
Placement::ChooseByLoad(const RankedSet& aSet, const LinkFilter& aUsable)
{
  const auto& members = aSet.Members();
  if (members.size() <= mOptions.mSamples) {
    return ChooseFromAll(aSet, aUsable);
  }
  UpstreamLink* best = nullptr;
  double bestScore = 0;
  for (size_t i = 0; i < mOptions.mSamples; i++) {
    UpstreamLink* link = members[RandomIndex(aSet)];
    if (!aUsable(*link)) {
      continue;
    }
    const double score = Score(*link);
    if (!best || score < bestScore) {
      best = link;
      bestScore = score;
    }
  }
  return best ? best : ChooseFromAll(aSet, aUsable);
}

UpstreamLink*
Placement::ChooseFromAll(const RankedSet& aSet, const LinkFilter& aUsable)
{
  const auto& members = aSet.Members();
  if (members.empty()) {
    return nullptr;
  }
  UpstreamLink* best = nullptr;
  double bestScore = 0;
  const size_t first = RandomIndex(aSet);
  for (size_t i = 0; i < members.size(); i++) {
    UpstreamLink* link = members[(first + i) % members.size()];
    if (!aUsable(*link)) {
      continue;
    }
    const double score = Score(*link);
    if (!best || score < bestScore) {
      best = link;
      bestScore = score;
    }
  }
  return best;
}

size_t
Placement::RandomIndex(const RankedSet& aSet)
{
  std::uniform_int_distribution<size_t> index(0, aSet.Members().size() - 1);
  return index(mRandom);
}

double
Placement::MeanScore(RankedSet& aSet, Millis aNow) const
{
  if (aNow < aSet.mNextUpdateAt || aSet.Members().empty()) {
    return aSet.mMeanLoadScore;
  }
  double sum = 0;
  size_t ready = 0;
  for (const UpstreamLink* link : aSet.Members()) {
    if (link->Ready()) {
      sum += Score(*link);
      ready++;
    }
  }
  aSet.mMeanLoadScore = ready == 0 ? 0 : sum / static_cast<double>(ready);
  aSet.mNextUpdateAt = aNow + kMeanInterval;
  return aSet.mMeanLoadScore;
}

double
Placement::Score(const UpstreamLink& aLink) const
{
  const Load& load = aLink.mLoad;
  const auto capacity =
    static_cast<double>(std::max<uint64_t>(load.mTokenCapacity, 1));
  const double tokens =
    static_cast<double>(load.mTokensInFlight + load.mTokensWaiting) +
    static_cast<double>(aLink.mTokensSinceReport);
  const double calls = static_cast<double>(load.mRunning) + load.mWaiting +
                       aLink.mCallsSinceReport;
  const bool remote = aLink.mView.mDataCentre != mOptions.mDataCentre;
  const auto distance = static_cast<double>(aLink.mRoundTrip.Count());
  return std::max(tokens / capacity, 0.0) +
         std::max(calls / kCallsPerCapacity, 0.0) +
         distance * kLoadPerRoundTripMs + (remote ? kOtherDataCentreLoad : 0);
}

} // namespace trefoilarch
