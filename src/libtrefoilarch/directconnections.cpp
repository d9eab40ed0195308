#include "directrouter.h"

#include <algorithm>

/** Connections to upstreams, which all entries share. */
namespace trefoilarch {

namespace {

/** An entry is busy if it uses this part of its fixed share. */
constexpr uint32_t kBusyDivisor = 2;

} // namespace

ConnectionLimits
DirectRouter::ConnectionLimitsOf(const RouteIndex& aIndex,
                                 const std::string& aService) const
{
  const RoutedService* service = aIndex.FindService(aService);
  const uint32_t all = service == nullptr ? RoutedService{}.mMaxConnections
                                          : service->mMaxConnections;
  return { .mAll = all,
           .mFixedShare = std::max(1U, all / mOptions.mConnectionShare) };
}

bool
DirectRouter::HasFreeConnection(const UpstreamId& aUpstream,
                                uint32_t aOpen,
                                const ConnectionLimits& aLimits,
                                Millis aNow)
{
  if (aOpen * kBusyDivisor >= aLimits.mFixedShare) {
    mConnectionShares.OnBusy(aNow);
  }
  return aOpen < aLimits.mFixedShare ||
         aOpen < mConnectionShares.Limit(aUpstream, aLimits, aNow);
}

size_t
DirectRouter::MaxIdleConnections(const UpstreamId& aUpstream, Millis aNow) const
{
  const auto tracked = mTracked.find(aUpstream);
  return mIndex && tracked != mTracked.end()
           ? mConnectionShares.MaxIdle(
               ConnectionLimitsOf(*mIndex, tracked->second.mService), aNow)
           : 0;
}

ConnectionUseUpdate
DirectRouter::TakeConnectionUse(Millis aNow)
{
  ConnectionUseUpdate update{ .mFrom = mOptions.mName,
                              .mProcess = mProcess,
                              .mSequence = ++mConnectionSequence,
                              .mBusy = mConnectionShares.IsBusy(aNow),
                              .mUses = {} };
  for (const auto& [id, tracked] : mTracked) {
    const auto idle = static_cast<uint32_t>(mOptions.mIdleConnections(id));
    const uint32_t connections = tracked.mWork.Open() + idle;
    if (connections > 0) {
      update.mUses.push_back({ .mUpstream = id, .mConnections = connections });
    }
  }
  std::sort(update.mUses.begin(),
            update.mUses.end(),
            [](const ConnectionUse& aOne, const ConnectionUse& aTwo) {
              return aOne.mConnections > aTwo.mConnections;
            });
  update.mUses.resize(
    std::min(update.mUses.size(), ConnectionUseUpdate::kMaxUses));
  mConnectionShares.OnReported(update.mUses);
  return update;
}

} // namespace trefoilarch
