#include "dedicatedpools.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** A service with fewer engines than this per pool is not divided. */
constexpr size_t kMinEnginesPerPool = 2;

/** Routes with less demand than this many requests are ignored. */
constexpr double kMinDemand = 1;

/** Routes with less demand than this are not reported to peers. */
constexpr double kMinReportedDemand = 0.05;

/** Age up to which a peer's open requests count as current: three updates of an
 * entry in a large fleet. */
constexpr Millis kMaxReportAge{ 1800 };

/** An overload of a class is absorbed if the upstreams have one less urgent
 * request for this many of the same urgency. */
constexpr double kUrgentPerLessUrgent = 3;

/** How long a route's computed positions are used. */
constexpr Millis kPositionsLifetime{ 250 };

/** Output tokens of a request without an estimate. */
constexpr double kDefaultOutput = 50;

/** The mean share of the allowed output that responses have. */
constexpr double kOutputShare = 0.25;

double
OutputOf(const PromptShape& aPrompt)
{
  if (aPrompt.mExpectedOutput > 0) {
    return aPrompt.mExpectedOutput;
  }
  return aPrompt.mMaxOutput > 0 ? aPrompt.mMaxOutput * kOutputShare
                                : kDefaultOutput;
}

/** Engines between that index and the nearer boundary of the pool [aFirst,
 * aLast). The ends of the order are not boundaries. */
uint32_t
BoundaryDistance(size_t aIndex, size_t aFirst, size_t aLast, size_t aEngines)
{
  size_t nearest = PoolPosition::kFarFromBoundary;
  if (aFirst > 0) {
    nearest = aIndex < aFirst ? aFirst - aIndex - 1 : aIndex - aFirst;
  }
  if (aLast < aEngines) {
    nearest =
      std::min(nearest, aIndex < aLast ? aLast - aIndex - 1 : aIndex - aLast);
  }
  return static_cast<uint32_t>(nearest);
}

/** Adds a demand to the totals of its route. */
void
AddDemand(std::map<std::string, RouteDemand>& aTotals,
          const RouteDemand& aDemand)
{
  const auto [it, inserted] = aTotals.try_emplace(aDemand.mRoute, aDemand);
  if (inserted) {
    return;
  }
  RouteDemand& sums = it->second;
  sums.mCount += aDemand.mCount;
  sums.mPromptTokens += aDemand.mPromptTokens;
  sums.mOutputTokens += aDemand.mOutputTokens;
  sums.mOpen += aDemand.mOpen;
}

std::vector<const ListedUpstream*>
HashOrder(const std::vector<const ListedUpstream*>& aAll,
          const PoolSizingInfo& aInfo)
{
  std::vector<std::pair<uint64_t, const ListedUpstream*>> ranked;
  for (const ListedUpstream* each : aAll) {
    if (!aInfo.mIsLeaving(*each)) {
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
  Decay(demand, aNow);
  // The full prompts count: shared segments are prefilled too wherever they are
  // not cached, and a pool without capacity for that would reject requests
  // while others are idle.
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
  for (auto& [name, service] : mServices) {
    for (auto& [route, demand] : service.mRoutes) {
      Decay(demand, aNow);
      if (demand.mSums.mCount >= kMinReportedDemand) {
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
  PeerDemands& peer = mPeerDemands[aFrom];
  peer = { .mAt = aNow };
  for (const RouteDemand& each : aDemands) {
    peer.mDemands.push_back({ .mSums = each, .mAt = aNow });
  }
}

bool
DedicatedPools::PeersSendLessUrgent(
  const std::string& aService,
  uint8_t aUrgency,
  Millis aNow,
  const std::function<bool(const std::string&)>& aIsIgnored) const
{
  double less = 0;
  double asUrgent = 0;
  for (const auto& [entry, peer] : mPeerDemands) {
    const bool fresh = aNow - peer.mAt < kMaxReportAge && !aIsIgnored(entry);
    for (const Demand& demand : peer.mDemands) {
      const RouteDemand& sums = demand.mSums;
      if (fresh && sums.mService == aService) {
        (sums.mUrgency > aUrgency ? less : asUrgent) += sums.mOpen;
      }
    }
  }
  return less * kUrgentPerLessUrgent > asUrgent;
}

const PoolPositions&
DedicatedPools::PositionsFor(const std::string& aService,
                             const Route& aRoute,
                             const std::vector<const ListedUpstream*>& aAll,
                             const PoolSizingInfo& aInfo,
                             Millis aNow)
{
  CachedPositions& cached = mServices[aService].mCachedPositions[aRoute.mName];
  if (aNow >= cached.mValidUntil) {
    cached.mPositions = ComputePositions(aService, aRoute, aAll, aInfo, aNow);
    // After the computation, since a moved boundary invalidates all cached
    // positions.
    cached.mValidUntil = aNow + kPositionsLifetime;
  }
  return cached.mPositions;
}

std::map<std::string, RouteDemand>
DedicatedPools::TotalDemand(const std::string& aService, Millis aNow)
{
  std::map<std::string, RouteDemand> totals;
  for (auto& [name, demand] : mServices[aService].mRoutes) {
    Decay(demand, aNow);
    totals[name] = demand.mSums;
  }
  // The last demands of entries that have become silent decay.
  for (auto peer = mPeerDemands.begin(); peer != mPeerDemands.end();) {
    double count = 0;
    for (Demand& demand : peer->second.mDemands) {
      Decay(demand, aNow);
      count += demand.mSums.mCount;
      if (demand.mSums.mService == aService) {
        AddDemand(totals, demand.mSums);
      }
    }
    peer =
      count < kMinReportedDemand ? mPeerDemands.erase(peer) : std::next(peer);
  }
  return totals;
}

PoolPositions
DedicatedPools::ComputePositions(const std::string& aService,
                                 const Route& aRoute,
                                 const std::vector<const ListedUpstream*>& aAll,
                                 const PoolSizingInfo& aInfo,
                                 Millis aNow)
{
  PoolPositions positions;
  Service& service = mServices[aService];
  const auto demands = TotalDemand(aService, aNow);
  const std::vector<Pool> pools = PoolsFor(service, demands, aInfo);
  const std::vector<const ListedUpstream*> order = HashOrder(aAll, aInfo);
  size_t ownPool = pools.size();
  for (size_t pool = 0; pool < pools.size(); ++pool) {
    const auto& routes = pools[pool].mRoutes;
    if (std::find(routes.begin(), routes.end(), aRoute.mName) != routes.end()) {
      ownPool = pool;
    }
  }
  if (pools.size() < 2 || ownPool == pools.size() ||
      order.size() < kMinEnginesPerPool * pools.size()) {
    return positions;
  }
  MoveBoundaries(service, SharesOf(pools, order.size()), order.size());
  const std::vector<size_t> poolOf = PoolOfEachEngine(service, order.size());
  const auto begin = std::find(poolOf.begin(), poolOf.end(), ownPool);
  const auto end = std::find_if(
    begin, poolOf.end(), [ownPool](size_t aPool) { return aPool != ownPool; });
  const auto first = static_cast<size_t>(begin - poolOf.begin());
  const auto last = static_cast<size_t>(end - poolOf.begin());
  for (size_t each = 0; each < order.size(); ++each) {
    const size_t pool = poolOf[each];
    positions[order[each]->mId] = {
      .mDistance =
        static_cast<uint32_t>(pool > ownPool ? pool - ownPool : ownPool - pool),
      .mBoundaryDistance = BoundaryDistance(each, first, last, order.size())
    };
  }
  return positions;
}

std::vector<size_t>
DedicatedPools::PoolOfEachEngine(const Service& aService, size_t aEngines)
{
  std::vector<size_t> pools;
  size_t pool = 0;
  for (size_t each = 0; each < aEngines; ++each) {
    const double position =
      (static_cast<double>(each) + 0.5) / static_cast<double>(aEngines);
    while (pool < aService.mBoundaries.size() &&
           position > aService.mBoundaries[pool]) {
      pool++;
    }
    pools.push_back(pool);
  }
  return pools;
}

void
DedicatedPools::Decay(Demand& aDemand, Millis aNow) const
{
  const double elapsed = static_cast<double>((aNow - aDemand.mAt).Count());
  const double factor =
    std::exp(-elapsed / static_cast<double>(mOptions.mDemandDecayTime.Count()));
  RouteDemand& sums = aDemand.mSums;
  sums.mCount *= factor;
  sums.mPromptTokens *= factor;
  sums.mOutputTokens *= factor;
  sums.mOpen *= factor;
  aDemand.mAt = aNow;
}

double
DedicatedPools::EnginesFor(const RouteDemand& aDemand,
                           const PoolSizingInfo& aInfo) const
{
  const double workMs = aDemand.mPromptTokens / aInfo.mPrefillPerMs +
                        aDemand.mOutputTokens * mOptions.mTokenMs;
  const double byWork =
    workMs / static_cast<double>(mOptions.mDemandDecayTime.Count());
  const double bySlots = aInfo.mSlots > 0 ? aDemand.mOpen / aInfo.mSlots : 0;
  return std::max(byWork, bySlots) * aInfo.mDemandScale;
}

std::vector<DedicatedPools::Pool>
DedicatedPools::PoolsFor(Service& aService,
                         const std::map<std::string, RouteDemand>& aDemands,
                         const PoolSizingInfo& aInfo) const
{
  std::vector<const RouteDemand*> byPause;
  for (const auto& [name, demand] : aDemands) {
    if (demand.mCount >= kMinDemand) {
      byPause.push_back(&demand);
    }
  }
  std::stable_sort(
    byPause.begin(), byPause.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mMaxPause < aRight->mMaxPause;
    });
  std::vector<Pool> pools;
  for (const RouteDemand* demand : byPause) {
    const double prompt = demand->mPromptTokens / demand->mCount;
    if (pools.empty() || NeedsOwnPool(aService, *demand, pools.back(), aInfo)) {
      pools.push_back({ .mMaxPause = demand->mMaxPause,
                        .mMeanPrompt = prompt,
                        .mUrgency = demand->mUrgency });
    }
    Pool& pool = pools.back();
    pool.mRoutes.push_back(demand->mRoute);
    pool.mUrgency = std::min(pool.mUrgency, demand->mUrgency);
    pool.mEnginesNeeded += EnginesFor(*demand, aInfo);
  }
  std::reverse(pools.begin(), pools.end());
  return pools;
}

bool
DedicatedPools::NeedsOwnPool(Service& aService,
                             const RouteDemand& aDemand,
                             const Pool& aStricter,
                             const PoolSizingInfo& aInfo) const
{
  const double prompt = aDemand.mPromptTokens / aDemand.mCount;
  if (prompt < mOptions.mPromptFactor * aStricter.mMeanPrompt) {
    return false;
  }
  const std::string& strict = aStricter.mRoutes.front();
  if (!aInfo.mPauses.HasEnoughData(strict, aDemand.mRoute)) {
    return static_cast<double>(aDemand.mMaxPause.Count()) >=
           mOptions.mPauseFactor *
             static_cast<double>(aStricter.mMaxPause.Count());
  }
  const double late =
    aInfo.mPauses.LateShare(strict, aDemand.mRoute, aStricter.mMaxPause);
  const bool wasSplit = aService.mSplitRoutes.contains(aDemand.mRoute);
  const bool split =
    late >= (wasSplit ? mOptions.mMergeLateShare : mOptions.mSplitLateShare);
  if (split) {
    aService.mSplitRoutes.insert(aDemand.mRoute);
  } else {
    aService.mSplitRoutes.erase(aDemand.mRoute);
  }
  return split;
}

std::vector<double>
DedicatedPools::SharesOf(const std::vector<Pool>& aPools, size_t aEngines) const
{
  double remaining = 0;
  for (const Pool& pool : aPools) {
    remaining += pool.mEnginesNeeded;
  }
  std::vector<size_t> order(aPools.size());
  std::iota(order.begin(), order.end(), size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
      return aPools[aLeft].mUrgency < aPools[aRight].mUrgency;
    });
  std::vector<double> shares(aPools.size());
  double unassigned =
    1 - mOptions.mMinShare * static_cast<double>(aPools.size());
  for (size_t each = 0; each < order.size(); ++each) {
    const Pool& pool = aPools[order[each]];
    const double proportional =
      remaining > 0 ? unassigned * pool.mEnginesNeeded / remaining : 0;
    const bool urgent = each + 1 < order.size() &&
                        pool.mUrgency < aPools[order[each + 1]].mUrgency;
    const double sufficient = pool.mEnginesNeeded /
                                mOptions.mTargetUtilization /
                                static_cast<double>(aEngines) -
                              mOptions.mMinShare;
    const double extra = urgent ? std::clamp(sufficient,
                                             proportional,
                                             std::max(proportional, unassigned))
                                : proportional;
    shares[order[each]] = mOptions.mMinShare + extra;
    unassigned -= extra;
    remaining -= pool.mEnginesNeeded;
  }
  return shares;
}

void
DedicatedPools::MoveBoundaries(Service& aService,
                               const std::vector<double>& aShares,
                               size_t aEngines) const
{
  const double slack =
    std::max(mOptions.mBoundarySlack,
             mOptions.mBoundarySlackEngines / static_cast<double>(aEngines));
  std::vector<double> target;
  double end = 0;
  for (size_t pool = 0; pool + 1 < aShares.size(); ++pool) {
    end += aShares[pool];
    target.push_back(end);
  }
  bool moved = target.size() != aService.mBoundaries.size();
  for (size_t each = 0; !moved && each < target.size(); ++each) {
    moved = std::abs(target[each] - aService.mBoundaries[each]) > slack;
  }
  if (moved) {
    aService.mBoundaries = target;
    // All routes must use the same boundaries.
    for (auto& [route, cached] : aService.mCachedPositions) {
      cached.mValidUntil = Millis(0);
    }
  }
}

} // namespace trefoilarch
