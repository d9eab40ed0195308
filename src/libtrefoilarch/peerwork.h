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
 * The prompt tokens that wait at each upstream for the other entries, by
 * their own word. An entry that has not been heard for a while counts as gone
 * and its work as done.
 */
class PeerWork
{
public:
  /** False for a message that is older than what is known of its sender. */
  bool Take(const PeerUpdate& aNotes, Millis aNow);
  /** Forgets entries that have fallen silent. */
  void Expire(Millis aNow);

  /** Tokens of all other entries that wait to be read there. */
  PendingPrefill Pending(const UpstreamId& aUpstream) const;
  /** Entries that were heard lately. */
  size_t Peers() const { return mPeers.size(); }
  /** Mean time between two messages of an entry, in milliseconds. */
  double MeanIntervalMs() const { return mPauseMs; }

private:
  struct Peer
  {
    uint64_t mProcess = 0;
    uint64_t mSequence = 0;
    std::vector<UpstreamPendingPrefill> mPending;
    Millis mHeard;
  };

  void Subtract(const Peer& aPeer);

  std::map<std::string, Peer> mPeers;
  double mPauseMs = 0;
  std::unordered_map<UpstreamId, PendingPrefill> mPending;
};

} // namespace trefoilarch
