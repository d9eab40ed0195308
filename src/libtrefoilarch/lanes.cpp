#include "lanes.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Fewer engines than this for each lane are not worth dividing. */
constexpr size_t kLeastEngines = 2;

/** Less demand than this many requests says nothing. */
constexpr double kLeastCount = 1;

/** How long a route's distances are good for. */
constexpr Millis kKnownSpan{ 250 };

/** Output tokens of a request of which nothing is known. */
constexpr double kUsualOutput = 50;

/** The share of the allowed output that answers have on average. */
constexpr double kOutputShare = 0.25;

double
OutputOf(const PromptShape& aPrompt)
{
  if (aPrompt.mLikelyOutput > 0) {
    return aPrompt.mLikelyOutput;
  }
  return aPrompt.mMostOutput > 0 ? aPrompt.mMostOutput * kOutputShare
                                 : kUsualOutput;
}

/** Engines between that place and the nearer end of the lane that goes from
 * aFirst to before aLast; an end of the order itself is no boundary. */
uint32_t
FromEdge(size_t aPlace, size_t aFirst, size_t aLast, size_t aEngines)
{
  size_t nearest = LanePlace::kFarFromEdge;
  if (aFirst > 0) {
    nearest = aPlace < aFirst ? aFirst - aPlace - 1 : aPlace - aFirst;
  }
  if (aLast < aEngines) {
    nearest =
      std::min(nearest, aPlace < aLast ? aLast - aPlace - 1 : aPlace - aLast);
  }
  return static_cast<uint32_t>(nearest);
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

Lanes::Lanes(LanesOptions aOptions)
  : mOptions(aOptions)
{
}

void
Lanes::OnRequest(const std::string& aService,
                 const Route& aRoute,
                 const PromptShape& aPrompt,
                 Millis aNow)
{
  if (!aRoute.mStream || aPrompt.mPromptTokens == 0) {
    return;
  }
  Demand& demand = mServices[aService].mRoutes[aRoute.mName];
  Fade(demand, aNow);
  const double own = aPrompt.mPromptTokens -
                     std::min(aPrompt.SharedTokens(), aPrompt.mPromptTokens);
  demand.mCount += 1;
  demand.mPromptTokens += aPrompt.mPromptTokens;
  demand.mWorkMs +=
    own / mOptions.mPrefillPerMs + OutputOf(aPrompt) * mOptions.mTokenMs;
  demand.mPauseMs = static_cast<double>(aRoute.mGapTarget.Count());
}

const LanePlaces&
Lanes::PlacesFor(const std::string& aService,
                 const Route& aRoute,
                 const std::vector<const ListedUpstream*>& aAll,
                 Millis aNow)
{
  Service& service = mServices[aService];
  Known& known = service.mKnown[aRoute.mName];
  if (aNow >= known.mUntil) {
    known.mPlaces = WorkOut(service, aRoute, aAll, aNow);
    // After the work: moved boundaries void what is known of every route.
    known.mUntil = aNow + kKnownSpan;
  }
  return known.mPlaces;
}

LanePlaces
Lanes::WorkOut(Service& aService,
               const Route& aRoute,
               const std::vector<const ListedUpstream*>& aAll,
               Millis aNow) const
{
  LanePlaces places;
  for (auto& [name, demand] : aService.mRoutes) {
    Fade(demand, aNow);
  }
  const std::vector<Lane> lanes = LanesOf(aService);
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
  MoveEnds(aService, lanes, order.size());
  const std::vector<size_t> laneOf = LanesInOrder(aService, order.size());
  const auto begin = std::find(laneOf.begin(), laneOf.end(), own);
  const auto end = std::find_if(
    begin, laneOf.end(), [own](size_t aLane) { return aLane != own; });
  const auto first = static_cast<size_t>(begin - laneOf.begin());
  const auto last = static_cast<size_t>(end - laneOf.begin());
  for (size_t each = 0; each < order.size(); ++each) {
    const size_t lane = laneOf[each];
    places[order[each]->mId] = {
      .mDistance = static_cast<uint32_t>(lane > own ? lane - own : own - lane),
      .mFromEdge = FromEdge(each, first, last, order.size())
    };
  }
  return places;
}

std::vector<size_t>
Lanes::LanesInOrder(const Service& aService, size_t aEngines)
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
Lanes::Fade(Demand& aDemand, Millis aNow) const
{
  const double span = static_cast<double>((aNow - aDemand.mAt).Count());
  const double kept =
    std::exp(-span / static_cast<double>(mOptions.mMemory.Count()));
  aDemand.mCount *= kept;
  aDemand.mPromptTokens *= kept;
  aDemand.mWorkMs *= kept;
  aDemand.mAt = aNow;
}

std::vector<Lanes::Lane>
Lanes::LanesOf(const Service& aService) const
{
  std::vector<std::pair<double, std::string>> byPause;
  for (const auto& [name, demand] : aService.mRoutes) {
    if (demand.mCount >= kLeastCount) {
      byPause.emplace_back(demand.mPauseMs, name);
    }
  }
  std::sort(byPause.begin(), byPause.end());
  std::vector<Lane> lanes;
  for (const auto& [pause, name] : byPause) {
    const Demand& demand = aService.mRoutes.at(name);
    const double prompt = demand.mPromptTokens / demand.mCount;
    const bool apart =
      lanes.empty() ||
      (pause >= mOptions.mPauseFactor * lanes.back().mPauseMs &&
       prompt >= mOptions.mPromptFactor * lanes.back().mPrompt);
    if (apart) {
      lanes.push_back({ .mPauseMs = pause, .mPrompt = prompt });
    }
    lanes.back().mRoutes.push_back(name);
    lanes.back().mWorkMs += demand.mWorkMs;
  }
  std::reverse(lanes.begin(), lanes.end());
  return lanes;
}

void
Lanes::MoveEnds(Service& aService,
                const std::vector<Lane>& aLanes,
                size_t aEngines) const
{
  const double slack = std::max(
    mOptions.mSlack, mOptions.mSlackEngines / static_cast<double>(aEngines));
  double all = 0;
  for (const Lane& lane : aLanes) {
    all += lane.mWorkMs;
  }
  const double free =
    1 - mOptions.mLeastShare * static_cast<double>(aLanes.size());
  std::vector<double> wanted;
  double end = 0;
  for (size_t lane = 0; lane + 1 < aLanes.size(); ++lane) {
    end += mOptions.mLeastShare + free * aLanes[lane].mWorkMs / all;
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
