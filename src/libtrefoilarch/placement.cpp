#include "placement.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How long a set's mean load is used before it is worked out again. */
constexpr Millis kMeanSpan{ 100 };

/** Running and waiting calls that count as much as a full room of tokens. */
constexpr double kCallsInRoom = 256;

/**
 * A millisecond of distance as a share of a room: a room empties in about
 * the time of one answer, some seconds.
 */
constexpr double kDistanceShare = 0.0005;

/** What another data centre costs, so that the own one is taken on a par. */
constexpr double kOtherDataCentre = 0.02;

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
  const double most =
    MeanScore(aSet, aNow) * mOptions.mLoadBound + mOptions.mLoadSlack;
  for (UpstreamLink* link : aSet.PreferredFor(aPrefixHash)) {
    if (link && aUsable(*link) && Score(*link) <= most) {
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
    UpstreamLink* link = members[AnyIndex(aSet)];
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
  const size_t first = AnyIndex(aSet);
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
Placement::AnyIndex(const RankedSet& aSet)
{
  std::uniform_int_distribution<size_t> any(0, aSet.Members().size() - 1);
  return any(mRandom);
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
  aSet.mNextUpdateAt = aNow + kMeanSpan;
  return aSet.mMeanLoadScore;
}

double
Placement::Score(const UpstreamLink& aLink) const
{
  const Load& load = aLink.mLoad;
  const auto room =
    static_cast<double>(std::max<uint64_t>(load.mTokenCapacity, 1));
  const double tokens =
    static_cast<double>(load.mTokensInFlight + load.mTokensWaiting) +
    static_cast<double>(aLink.mTokensSinceReport);
  const double calls = static_cast<double>(load.mRunning) + load.mWaiting +
                       aLink.mCallsSinceReport;
  const bool far = aLink.mView.mDataCentre != mOptions.mDataCentre;
  const auto distance = static_cast<double>(aLink.mRoundTrip.Count());
  return std::max(tokens / room, 0.0) + std::max(calls / kCallsInRoom, 0.0) +
         distance * kDistanceShare + (far ? kOtherDataCentre : 0);
}

} // namespace trefoilarch
