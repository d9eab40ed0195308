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
  // Whole prompts: shared parts are read too, wherever they are not held, and
  // a lane that has no room for that refuses while others idle.
  demand.mCount += 1;
  demand.mPromptTokens += aPrompt.mPromptTokens;
  demand.mOutputTokens += OutputOf(aPrompt);
  demand.mPause = aRoute.mGapTarget;
}

const LanePlaces&
Lanes::PlacesFor(const std::string& aService,
                 const Route& aRoute,
                 const std::vector<const ListedUpstream*>& aAll,
                 const LaneFacts& aFacts,
                 Millis aNow)
{
  Service& service = mServices[aService];
  Known& known = service.mKnown[aRoute.mName];
  if (aNow >= known.mUntil) {
    known.mPlaces = WorkOut(service, aRoute, aAll, aFacts, aNow);
    // After the work: moved boundaries void what is known of every route.
    known.mUntil = aNow + kKnownSpan;
  }
  return known.mPlaces;
}

LanePlaces
Lanes::WorkOut(Service& aService,
               const Route& aRoute,
               const std::vector<const ListedUpstream*>& aAll,
               const LaneFacts& aFacts,
               Millis aNow) const
{
  LanePlaces places;
  for (auto& [name, demand] : aService.mRoutes) {
    Fade(demand, aNow);
  }
  const std::vector<Lane> lanes = LanesOf(aService, aFacts);
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
  aDemand.mOutputTokens *= kept;
  aDemand.mAt = aNow;
}

std::vector<Lanes::Lane>
Lanes::LanesOf(Service& aService, const LaneFacts& aFacts) const
{
  std::vector<std::pair<Millis, std::string>> byPause;
  for (const auto& [name, demand] : aService.mRoutes) {
    if (demand.mCount >= kLeastCount) {
      byPause.emplace_back(demand.mPause, name);
    }
  }
  std::sort(byPause.begin(), byPause.end());
  std::vector<Lane> lanes;
  for (const auto& [pause, name] : byPause) {
    const Demand& demand = aService.mRoutes.at(name);
    const double prompt = demand.mPromptTokens / demand.mCount;
    if (lanes.empty() || IsApart(aService, name, lanes.back(), aFacts)) {
      lanes.push_back({ .mPause = pause, .mPrompt = prompt });
    }
    lanes.back().mRoutes.push_back(name);
    lanes.back().mWorkMs += demand.mPromptTokens / aFacts.mReadPerMs +
                            demand.mOutputTokens * mOptions.mTokenMs;
  }
  std::reverse(lanes.begin(), lanes.end());
  return lanes;
}

bool
Lanes::IsApart(Service& aService,
               const std::string& aRoute,
               const Lane& aStricter,
               const LaneFacts& aFacts) const
{
  const Demand& demand = aService.mRoutes.at(aRoute);
  const double prompt = demand.mPromptTokens / demand.mCount;
  if (prompt < mOptions.mPromptFactor * aStricter.mPrompt) {
    return false;
  }
  const std::string& strict = aStricter.mRoutes.front();
  if (!aFacts.mPauses.Knows(strict, aRoute)) {
    return static_cast<double>(demand.mPause.Count()) >=
           mOptions.mPauseFactor *
             static_cast<double>(aStricter.mPause.Count());
  }
  const double late =
    aFacts.mPauses.LateShare(strict, aRoute, aStricter.mPause);
  const bool before = aService.mApart.contains(aRoute);
  const bool apart =
    late >= (before ? mOptions.mKeptShare : mOptions.mLateShare);
  if (apart) {
    aService.mApart.insert(aRoute);
  } else {
    aService.mApart.erase(aRoute);
  }
  return apart;
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
