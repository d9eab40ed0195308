#include "connectionshares.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** In a larger fleet an entry has few connections to each upstream, and reports
 * would cost more than they gain. */
constexpr size_t kMaxEntries = 12;

/** Five reports of a busy entry; losing as many in a row is rare. */
constexpr Millis kBusyPeerTimeout{ 1000 };

/** A peer that has been silent for longer is not expected to report again. */
constexpr Millis kPeerRetention{ 60000 };

/** An entry reports its use for this long after it was busy. */
constexpr Millis kBusyDuration{ 2000 };

/** One in this many connections is kept free for entries whose reports are
 * late. */
constexpr uint32_t kReserveDivisor = 16;

/** An entry keeps this many idle connections to an upstream while another one
 * needs more than its fixed share. */
constexpr size_t kMaxIdleBesideBusy = 1;

} // namespace

void
ConnectionShares::OnPeerUpdate(const ConnectionUseUpdate& aUpdate, Millis aNow)
{
  Peer& peer = mPeers[aUpdate.mFrom];
  if (peer.mProcess == aUpdate.mProcess &&
      aUpdate.mSequence <= peer.mSequence) {
    return;
  }
  peer = { .mProcess = aUpdate.mProcess,
           .mSequence = aUpdate.mSequence,
           .mBusy = aUpdate.mBusy,
           .mUses = {},
           .mReceivedAt = aNow };
  for (const ConnectionUse& each : aUpdate.mUses) {
    peer.mUses[each.mUpstream] = each.mConnections;
  }
  std::erase_if(mPeers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mReceivedAt > kPeerRetention;
  });
}

bool
ConnectionShares::IsBusy(Millis aNow) const
{
  return aNow - mBusyAt <= kBusyDuration;
}

bool
ConnectionShares::IsReporting(Millis aNow) const
{
  if (mEntries < 2 || mEntries > kMaxEntries) {
    return false;
  }
  return IsBusy(aNow) ||
         std::any_of(mPeers.begin(), mPeers.end(), [aNow](const auto& aEntry) {
           const Peer& peer = aEntry.second;
           return peer.mBusy && aNow - peer.mReceivedAt <= kBusyPeerTimeout;
         });
}

size_t
ConnectionShares::MaxIdle(const ConnectionLimits& aLimits, Millis aNow) const
{
  const bool isPeerBusy =
    std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
      const Peer& peer = aEntry.second;
      return aNow - peer.mReceivedAt <= kBusyPeerTimeout &&
             std::any_of(
               peer.mUses.begin(), peer.mUses.end(), [&](const auto& aUse) {
                 return aUse.second > aLimits.mFixedShare;
               });
    });
  return isPeerBusy ? kMaxIdleBesideBusy : aLimits.mFixedShare;
}

void
ConnectionShares::OnReported(const std::vector<ConnectionUse>& aUses)
{
  mReported.clear();
  for (const ConnectionUse& each : aUses) {
    mReported[each.mUpstream] = each.mConnections;
  }
}

uint32_t
ConnectionShares::Limit(const UpstreamId& aUpstream,
                        const ConnectionLimits& aLimits,
                        Millis aNow) const
{
  if (mEntries == 0 || mEntries > kMaxEntries) {
    return aLimits.mFixedShare;
  }
  const uint32_t own = UseOf(mReported, aUpstream);
  uint32_t used = own;
  uint32_t busy = 1;
  size_t unknown = mEntries - 1;
  for (const auto& [name, peer] : mPeers) {
    unknown -= std::min<size_t>(unknown, 1);
    if (peer.mBusy && aNow - peer.mReceivedAt > kBusyPeerTimeout) {
      continue;
    }
    const uint32_t connections = UseOf(peer.mUses, aUpstream);
    used += connections;
    busy += connections >= aLimits.mFixedShare ? 1 : 0;
  }
  // An entry that has not reported yet may be busy too.
  used += static_cast<uint32_t>(unknown) * aLimits.mFixedShare;
  busy += static_cast<uint32_t>(unknown);
  const uint32_t available = aLimits.mAll - aLimits.mAll / kReserveDivisor;
  const uint32_t limit = used <= available
                           ? own + (available - used) / busy
                           : own - std::min(own, (used - available) / busy);
  return std::max(aLimits.mFixedShare, limit);
}

uint32_t
ConnectionShares::UseOf(const Uses& aUses, const UpstreamId& aUpstream)
{
  const auto found = aUses.find(aUpstream);
  return found == aUses.end() ? 0 : found->second;
}

} // namespace trefoilarch
