#pragma once

#include "millis.h"
#include "peerupdate.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * The prompt tokens of other entries that are pending at each upstream, as
 * reported by these entries. An entry whose updates have stopped is considered
 * gone, and its work done.
 */
class PeerWork
{
public:
  /** Returns false if the message is older than the last one of its sender. */
  bool Take(const PeerUpdate& aUpdate, Millis aNow);
  /** Removes entries whose updates have stopped. */
  void Expire(Millis aNow);

  /** Pending tokens of all other entries at the upstream. */
  PendingPrefill Pending(const UpstreamId& aUpstream) const;
  /** Number of entries with recent updates. */
  size_t Peers() const { return mPeers.size(); }
  /** Mean time between two messages of an entry, in milliseconds. */
  double MeanIntervalMs() const { return mMeanIntervalMs; }

private:
  struct Peer
  {
    uint64_t mProcess = 0;
    uint64_t mSequence = 0;
    std::vector<UpstreamPendingPrefill> mPending;
    Millis mReceivedAt;
  };

  void Subtract(const Peer& aPeer);

  std::map<std::string, Peer> mPeers;
  double mMeanIntervalMs = 0;
  std::unordered_map<UpstreamId, PendingPrefill> mPending;
};

} // namespace trefoilarch
