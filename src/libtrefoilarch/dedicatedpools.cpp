#include "dedicatedpools.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Fewer engines than this for each lane are not worth dividing. */
constexpr size_t kLeastEngines = 2;

/** Less demand than this many requests says nothing. */
constexpr double kLeastCount = 1;

/** Less of a route than this is not worth telling. */
constexpr double kLeastTold = 0.05;

/** What others told of open requests says so much of now for so long: three
 * messages of a large fleet's entry. */
constexpr Millis kFreshSpan{ 1800 };

/** Of what is at upstreams, one part less urgent to so many as urgent is enough
 * to bear an overload. At 1 the most urgent class of a morning at twice what
 * the engines can do was whole in 0.983, at 3 in 1.000 and the third class in
 * 0.86 and 1.00, at 6 the least urgent got 0.19 for 0.22 (virtual time). */
constexpr double kShareToShed = 3;

/** How long a route's distances are good for. */
constexpr Millis kKnownSpan{ 250 };

/** Output tokens of a request of which nothing is known. */
constexpr double kUsualOutput = 50;

/** The share of the allowed output that answers have on average. */
constexpr double kOutputShare = 0.25;

double
OutputOf(const PromptShape& aPrompt)
{
  if (aPrompt.mExpectedOutput > 0) {
    return aPrompt.mExpectedOutput;
  }
  return aPrompt.mMaxOutput > 0 ? aPrompt.mMaxOutput * kOutputShare
                                : kUsualOutput;
}

/** Engines between that place and the nearer end of the lane that goes from
 * aFirst to before aLast; an end of the order itself is no boundary. */
uint32_t
FromEdge(size_t aPlace, size_t aFirst, size_t aLast, size_t aEngines)
{
  size_t nearest = PoolPosition::kFarFromBoundary;
  if (aFirst > 0) {
    nearest = aPlace < aFirst ? aFirst - aPlace - 1 : aPlace - aFirst;
  }
  if (aLast < aEngines) {
    nearest =
      std::min(nearest, aPlace < aLast ? aLast - aPlace - 1 : aPlace - aLast);
  }
  return static_cast<uint32_t>(nearest);
}

/** Adds a demand to what is known of its route. */
void
Add(std::map<std::string, RouteDemand>& aWhole, const RouteDemand& aMore)
{
  const auto [place, fresh] = aWhole.try_emplace(aMore.mRoute, aMore);
  if (fresh) {
    return;
  }
  RouteDemand& sums = place->second;
  sums.mCount += aMore.mCount;
  sums.mPromptTokens += aMore.mPromptTokens;
  sums.mOutputTokens += aMore.mOutputTokens;
  sums.mOpen += aMore.mOpen;
}

std::vector<const ListedUpstream*>
InOrder(const std::vector<const ListedUpstream*>& aAll)
{
  std::vector<std::pair<uint64_t, const ListedUpstream*>> ranked;
  for (const ListedUpstream* each : aAll) {
    if (!each->mLeaving) {
      const uint64_t rank = XXH3_64bits(each->mId.data(), each->mId.size());
      ranked.emplace_back(rank, each);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const ListedUpstream*> order;
  order.reserve(ranked.size());
  for (const auto& [rank, each] : ranked) {
    order.push_back(each);
  }
  return order;
}

} // namespace

DedicatedPools::DedicatedPools(DedicatedPoolsOptions aOptions)
  : mOptions(aOptions)
{
}

void
DedicatedPools::OnRequest(const std::string& aService,
                          const Route& aRoute,
                          const PromptShape& aPrompt,
                          Millis aNow,
                          double aOpen)
{
  if (!aRoute.mStream || aPrompt.mPromptTokens == 0) {
    return;
  }
  Demand& demand = mServices[aService].mRoutes[aRoute.mName];
  Fade(demand, aNow);
  // Whole prompts: shared parts are read too, wherever they are not held, and
  // a lane that has no room for that refuses while others idle.
  RouteDemand& sums = demand.mSums;
  sums.mService = aService;
  sums.mRoute = aRoute.mName;
  sums.mCount += 1;
  sums.mPromptTokens += aPrompt.mPromptTokens;
  sums.mOutputTokens += OutputOf(aPrompt);
  sums.mOpen = aOpen;
  sums.mMaxPause = aRoute.mGapTarget;
  sums.mUrgency = aRoute.mPriority;
}

std::vector<RouteDemand>
DedicatedPools::Demands(Millis aNow)
{
  std::vector<RouteDemand> demands;
  for (auto& [service, known] : mServices) {
    for (auto& [route, demand] : known.mRoutes) {
      Fade(demand, aNow);
      if (demand.mSums.mCount >= kLeastTold) {
        demands.push_back(demand.mSums);
      }
    }
  }
  return demands;
}

void
DedicatedPools::OnPeerDemands(const std::string& aFrom,
                              const std::vector<RouteDemand>& aDemands,
                              Millis aNow)
{
  Told& told = mTold[aFrom];
  told = { .mAt = aNow };
  for (const RouteDemand& each : aDemands) {
    told.mDemands.push_back({ .mSums = each, .mAt = aNow });
  }
}

bool
DedicatedPools::PeersSendLessUrgent(const std::string& aService,
                                    uint8_t aUrgency,
                                    Millis aNow) const
{
  double less = 0;
  double asUrgent = 0;
  for (const auto& [entry, told] : mTold) {
    const bool fresh = aNow - told.mAt < kFreshSpan;
    for (const Demand& demand : told.mDemands) {
      const RouteDemand& sums = demand.mSums;
      if (fresh && sums.mService == aService) {
        (sums.mUrgency > aUrgency ? less : asUrgent) += sums.mOpen;
      }
    }
  }
  return less * kShareToShed > asUrgent;
}

const PoolPositions&
DedicatedPools::PositionsFor(const std::string& aService,
                             const Route& aRoute,
                             const std::vector<const ListedUpstream*>& aAll,
                             const PoolSizingInfo& aFacts,
                             Millis aNow)
{
  Known& known = mServices[aService].mKnown[aRoute.mName];
  if (aNow >= known.mUntil) {
    known.mPlaces = WorkOut(aService, aRoute, aAll, aFacts, aNow);
    // After the work: moved boundaries void what is known of every route.
    known.mUntil = aNow + kKnownSpan;
  }
  return known.mPlaces;
}

std::map<std::string, RouteDemand>
DedicatedPools::WholeDemand(const std::string& aService, Millis aNow)
{
  std::map<std::string, RouteDemand> whole;
  for (auto& [name, demand] : mServices[aService].mRoutes) {
    Fade(demand, aNow);
    whole[name] = demand.mSums;
  }
  // Of entries that have gone silent, what they told last fades away.
  for (auto told = mTold.begin(); told != mTold.end();) {
    double count = 0;
    for (Demand& demand : told->second.mDemands) {
      Fade(demand, aNow);
      count += demand.mSums.mCount;
      if (demand.mSums.mService == aService) {
        Add(whole, demand.mSums);
      }
    }
    told = count < kLeastTold ? mTold.erase(told) : std::next(told);
  }
  return whole;
}

PoolPositions
DedicatedPools::WorkOut(const std::string& aService,
                        const Route& aRoute,
                        const std::vector<const ListedUpstream*>& aAll,
                        const PoolSizingInfo& aFacts,
                        Millis aNow)
{
  PoolPositions places;
  Service& service = mServices[aService];
  const auto demands = WholeDemand(aService, aNow);
  const std::vector<Lane> lanes = LanesOf(service, demands, aFacts);
  const std::vector<const ListedUpstream*> order = InOrder(aAll);
  size_t own = lanes.size();
  for (size_t lane = 0; lane < lanes.size(); ++lane) {
    const auto& routes = lanes[lane].mRoutes;
    if (std::find(routes.begin(), routes.end(), aRoute.mName) != routes.end()) {
      own = lane;
    }
  }
  if (lanes.size() < 2 || own == lanes.size() ||
      order.size() < kLeastEngines * lanes.size()) {
    return places;
  }
  MoveEnds(service, SharesOf(lanes, order.size()), order.size());
  const std::vector<size_t> laneOf = LanesInOrder(service, order.size());
  const auto begin = std::find(laneOf.begin(), laneOf.end(), own);
  const auto end = std::find_if(
    begin, laneOf.end(), [own](size_t aLane) { return aLane != own; });
  const auto first = static_cast<size_t>(begin - laneOf.begin());
  const auto last = static_cast<size_t>(end - laneOf.begin());
  for (size_t each = 0; each < order.size(); ++each) {
    const size_t lane = laneOf[each];
    places[order[each]->mId] = {
      .mDistance = static_cast<uint32_t>(lane > own ? lane - own : own - lane),
      .mBoundaryDistance = FromEdge(each, first, last, order.size())
    };
  }
  return places;
}

std::vector<size_t>
DedicatedPools::LanesInOrder(const Service& aService, size_t aEngines)
{
  std::vector<size_t> lanes;
  size_t lane = 0;
  for (size_t each = 0; each < aEngines; ++each) {
    const double place =
      (static_cast<double>(each) + 0.5) / static_cast<double>(aEngines);
    while (lane < aService.mEnds.size() && place > aService.mEnds[lane]) {
      lane++;
    }
    lanes.push_back(lane);
  }
  return lanes;
}

void
DedicatedPools::Fade(Demand& aDemand, Millis aNow) const
{
  const double span = static_cast<double>((aNow - aDemand.mAt).Count());
  const double kept =
    std::exp(-span / static_cast<double>(mOptions.mDemandDecayTime.Count()));
  RouteDemand& sums = aDemand.mSums;
  sums.mCount *= kept;
  sums.mPromptTokens *= kept;
  sums.mOutputTokens *= kept;
  sums.mOpen *= kept;
  aDemand.mAt = aNow;
}

double
DedicatedPools::EnginesFor(const RouteDemand& aDemand,
                           const PoolSizingInfo& aFacts) const
{
  const double workMs = aDemand.mPromptTokens / aFacts.mPrefillPerMs +
                        aDemand.mOutputTokens * mOptions.mTokenMs;
  const double byWork =
    workMs / static_cast<double>(mOptions.mDemandDecayTime.Count());
  const double bySlots = aFacts.mSlots > 0 ? aDemand.mOpen / aFacts.mSlots : 0;
  return std::max(byWork, bySlots) * aFacts.mDemandScale;
}

std::vector<DedicatedPools::Lane>
DedicatedPools::LanesOf(Service& aService,
                        const std::map<std::string, RouteDemand>& aDemands,
                        const PoolSizingInfo& aFacts) const
{
  std::vector<const RouteDemand*> byPause;
  for (const auto& [name, demand] : aDemands) {
    if (demand.mCount >= kLeastCount) {
      byPause.push_back(&demand);
    }
  }
  std::stable_sort(
    byPause.begin(), byPause.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mMaxPause < aRight->mMaxPause;
    });
  std::vector<Lane> lanes;
  for (const RouteDemand* demand : byPause) {
    const double prompt = demand->mPromptTokens / demand->mCount;
    if (lanes.empty() || IsApart(aService, *demand, lanes.back(), aFacts)) {
      lanes.push_back({ .mMaxPause = demand->mMaxPause,
                        .mPrompt = prompt,
                        .mUrgency = demand->mUrgency });
    }
    Lane& lane = lanes.back();
    lane.mRoutes.push_back(demand->mRoute);
    lane.mUrgency = std::min(lane.mUrgency, demand->mUrgency);
    lane.mEngines += EnginesFor(*demand, aFacts);
  }
  std::reverse(lanes.begin(), lanes.end());
  return lanes;
}

bool
DedicatedPools::IsApart(Service& aService,
                        const RouteDemand& aDemand,
                        const Lane& aStricter,
                        const PoolSizingInfo& aFacts) const
{
  const double prompt = aDemand.mPromptTokens / aDemand.mCount;
  if (prompt < mOptions.mPromptFactor * aStricter.mPrompt) {
    return false;
  }
  const std::string& strict = aStricter.mRoutes.front();
  if (!aFacts.mPauses.HasEnoughData(strict, aDemand.mRoute)) {
    return static_cast<double>(aDemand.mMaxPause.Count()) >=
           mOptions.mPauseFactor *
             static_cast<double>(aStricter.mMaxPause.Count());
  }
  const double late =
    aFacts.mPauses.LateShare(strict, aDemand.mRoute, aStricter.mMaxPause);
  const bool before = aService.mApart.contains(aDemand.mRoute);
  const bool apart =
    late >= (before ? mOptions.mMergeLateShare : mOptions.mSplitLateShare);
  if (apart) {
    aService.mApart.insert(aDemand.mRoute);
  } else {
    aService.mApart.erase(aDemand.mRoute);
  }
  return apart;
}

std::vector<double>
DedicatedPools::SharesOf(const std::vector<Lane>& aLanes, size_t aEngines) const
{
  double left = 0;
  for (const Lane& lane : aLanes) {
    left += lane.mEngines;
  }
  std::vector<size_t> order(aLanes.size());
  std::iota(order.begin(), order.end(), size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
      return aLanes[aLeft].mUrgency < aLanes[aRight].mUrgency;
    });
  std::vector<double> shares(aLanes.size());
  double free = 1 - mOptions.mMinShare * static_cast<double>(aLanes.size());
  for (size_t each = 0; each < order.size(); ++each) {
    const Lane& lane = aLanes[order[each]];
    const double even = left > 0 ? free * lane.mEngines / left : 0;
    const bool urgent = each + 1 < order.size() &&
                        lane.mUrgency < aLanes[order[each + 1]].mUrgency;
    const double enough = lane.mEngines / mOptions.mTargetUtilization /
                            static_cast<double>(aEngines) -
                          mOptions.mMinShare;
    const double extra =
      urgent ? std::clamp(enough, even, std::max(even, free)) : even;
    shares[order[each]] = mOptions.mMinShare + extra;
    free -= extra;
    left -= lane.mEngines;
  }
  return shares;
}

void
DedicatedPools::MoveEnds(Service& aService,
                         const std::vector<double>& aShares,
                         size_t aEngines) const
{
  const double slack =
    std::max(mOptions.mBoundarySlack,
             mOptions.mBoundarySlackEngines / static_cast<double>(aEngines));
  std::vector<double> wanted;
  double end = 0;
  for (size_t lane = 0; lane + 1 < aShares.size(); ++lane) {
    end += aShares[lane];
    wanted.push_back(end);
  }
  bool moves = wanted.size() != aService.mEnds.size();
  for (size_t each = 0; !moves && each < wanted.size(); ++each) {
    moves = std::abs(wanted[each] - aService.mEnds[each]) > slack;
  }
  if (moves) {
    aService.mEnds = wanted;
    // No route may go by the old boundaries while another goes by the new.
    for (auto& [route, known] : aService.mKnown) {
      known.mUntil = Millis(0);
    }
  }
}

} // namespace trefoilarch
