#include "peerwork.h"

namespace trefoilarch {

namespace {

/** Entries say something every half second at the least; three messages in a
 * row are rarely lost. */
constexpr Millis kSilentSpan{ 1800 };

/** Weight of the newest pause between messages. */
constexpr double kNewestPause = 0.05;

} // namespace

bool
PeerWork::Take(const PeerUpdate& aNotes, Millis aNow)
{
  Peer& peer = mPeers[aNotes.mFrom];
  const bool late =
    peer.mProcess == aNotes.mProcess && aNotes.mSequence <= peer.mSequence;
  if (late) {
    return false;
  }
  if (peer.mProcess == aNotes.mProcess) {
    const auto pause = static_cast<double>((aNow - peer.mHeard).Count());
    mPauseMs += kNewestPause * (pause - mPauseMs);
  }
  Subtract(peer);
  peer = { .mProcess = aNotes.mProcess,
           .mSequence = aNotes.mSequence,
           .mPending = aNotes.mPending,
           .mHeard = aNow };
  for (const UpstreamPendingPrefill& each : peer.mPending) {
    mPending[each.mUpstream] += each.mPendingPrefill;
  }
  return true;
}

void
PeerWork::Expire(Millis aNow)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    const bool silent = aNow - aEntry.second.mHeard > kSilentSpan;
    if (silent) {
      Subtract(aEntry.second);
    }
    return silent;
  });
}

PendingPrefill
PeerWork::Pending(const UpstreamId& aUpstream) const
{
  const auto place = mPending.find(aUpstream);
  return place == mPending.end() ? PendingPrefill() : place->second;
}

void
PeerWork::Subtract(const Peer& aPeer)
{
  for (const UpstreamPendingPrefill& each : aPeer.mPending) {
    const auto place = mPending.find(each.mUpstream);
    place->second -= each.mPendingPrefill;
    if (place->second.All() == 0) {
      mPending.erase(place);
    }
  }
}

} // namespace trefoilarch
