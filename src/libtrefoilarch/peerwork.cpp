#include "peerwork.h"

namespace trefoilarch {

namespace {

/** Entries send a message at least every half second. Three lost messages in a
 * row are rare. */
constexpr Millis kSilenceTimeout{ 1800 };

/** Weight of the latest interval in the mean. */
constexpr double kNewestIntervalWeight = 0.05;

} // namespace

bool
PeerWork::Take(const PeerUpdate& aUpdate, Millis aNow)
{
  Peer& peer = mPeers[aUpdate.mFrom];
  const bool late =
    peer.mProcess == aUpdate.mProcess && aUpdate.mSequence <= peer.mSequence;
  if (late) {
    return false;
  }
  if (peer.mProcess == aUpdate.mProcess) {
    const auto interval =
      static_cast<double>((aNow - peer.mReceivedAt).Count());
    mMeanIntervalMs += kNewestIntervalWeight * (interval - mMeanIntervalMs);
  }
  Subtract(peer);
  peer = { .mProcess = aUpdate.mProcess,
           .mSequence = aUpdate.mSequence,
           .mPending = aUpdate.mPending,
           .mReceivedAt = aNow };
  for (const UpstreamPendingPrefill& each : peer.mPending) {
    mPending[each.mUpstream] += each.mPendingPrefill;
  }
  return true;
}

void
PeerWork::Expire(Millis aNow)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.mReceivedAt > kSilenceTimeout;
    if (silent) {
      Subtract(aEntry.second);
    }
    return silent;
  });
}

PendingPrefill
PeerWork::Pending(const UpstreamId& aUpstream) const
{
  const auto it = mPending.find(aUpstream);
  return it == mPending.end() ? PendingPrefill() : it->second;
}

void
PeerWork::Subtract(const Peer& aPeer)
{
  for (const UpstreamPendingPrefill& each : aPeer.mPending) {
    const auto it = mPending.find(each.mUpstream);
    it->second -= each.mPendingPrefill;
    if (it->second.All() == 0) {
      mPending.erase(it);
    }
  }
}

} // namespace trefoilarch
