#include "lanes.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Fewer engines are not worth dividing. */
constexpr size_t kLeastEngines = 3;

/** Less demand than this many requests says nothing. */
constexpr double kLeastCount = 1;

/** Output tokens of a request of which nothing is known. */
constexpr double kUsualOutput = 50;

double
OutputOf(const PromptShape& aPrompt)
{
  if (aPrompt.mLikelyOutput > 0) {
    return aPrompt.mLikelyOutput;
  }
  return aPrompt.mMostOutput > 0 ? aPrompt.mMostOutput / 4.0 : kUsualOutput;
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

std::set<UpstreamId>
Lanes::Members(const std::string& aService,
               const Route& aRoute,
               const std::vector<const ListedUpstream*>& aAll,
               Millis aNow)
{
  std::vector<std::pair<uint64_t, const ListedUpstream*>> order;
  for (const ListedUpstream* each : aAll) {
    if (!each->mLeaving) {
      order.emplace_back(XXH3_64bits(each->mId.data(), each->mId.size()), each);
    }
  }
  std::sort(order.begin(), order.end());
  size_t first = 0;
  size_t last = order.size();
  Service& service = mServices[aService];
  for (auto& [name, demand] : service.mRoutes) {
    Fade(demand, aNow);
  }
  const std::set<std::string> longRoutes = LongRoutes(service);
  if (order.size() >= kLeastEngines && !longRoutes.empty()) {
    const size_t longCount = LongCount(service, longRoutes, order.size());
    if (longRoutes.contains(aRoute.mName)) {
      last = longCount;
    } else {
      first = longCount;
    }
  }
  std::set<UpstreamId> members;
  for (size_t each = first; each < last; ++each) {
    members.insert(order[each].second->mId);
  }
  return members;
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

std::set<std::string>
Lanes::LongRoutes(const Service& aService) const
{
  const Demand* strictest = nullptr;
  for (const auto& [name, demand] : aService.mRoutes) {
    if (demand.mCount >= kLeastCount &&
        (strictest == nullptr || demand.mPauseMs < strictest->mPauseMs)) {
      strictest = &demand;
    }
  }
  std::set<std::string> names;
  if (strictest == nullptr) {
    return names;
  }
  const double prompt = strictest->mPromptTokens / strictest->mCount;
  for (const auto& [name, demand] : aService.mRoutes) {
    if (demand.mCount >= kLeastCount &&
        demand.mPauseMs >= mOptions.mPauseFactor * strictest->mPauseMs &&
        demand.mPromptTokens / demand.mCount >=
          mOptions.mPromptFactor * prompt) {
      names.insert(name);
    }
  }
  return names;
}

size_t
Lanes::LongCount(Service& aService,
                 const std::set<std::string>& aLong,
                 size_t aEngines) const
{
  double longWork = 0;
  double allWork = 0;
  for (const auto& [name, demand] : aService.mRoutes) {
    allWork += demand.mWorkMs;
    longWork += aLong.contains(name) ? demand.mWorkMs : 0;
  }
  const double share =
    std::clamp(longWork / allWork, mOptions.mLeastShare, mOptions.mMostShare);
  const double wanted = share * static_cast<double>(aEngines);
  const double off = std::abs(wanted - static_cast<double>(aService.mLong));
  if (aService.mLong == 0 || aService.mLong >= aEngines ||
      off > mOptions.mSlack * static_cast<double>(aEngines)) {
    aService.mLong = static_cast<size_t>(std::lround(wanted));
  }
  aService.mLong = std::clamp<size_t>(aService.mLong, 1, aEngines - 1);
  return aService.mLong;
}

} // namespace trefoilarch
