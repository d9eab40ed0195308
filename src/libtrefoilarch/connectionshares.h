#pragma once

#include "connectionuseupdate.h"
#include "millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** What an upstream accepts, and an entry's part of it. */
struct ConnectionLimits
{
  /** Connections of all entries together. */
  uint32_t mAll = 0;
  /** What an entry may use in any case. */
  uint32_t mFixedShare = 1;
};

/**
 * Divides the connections that an upstream accepts among the entries. Each may
 * use a fixed share. One that needs more reports its use, and so do the others
 * then; those that use their fixed share divide what is free. Callers may so
 * move from one entry to another within seconds. A busy entry that stops
 * reporting has gone, and its connections with it.
 */
class ConnectionShares
{
public:
  /** This entry included. */
  void SetEntries(size_t aEntries) { mEntries = aEntries; }
  /** This entry uses much of its fixed share of an upstream's connections. */
  void OnBusy(Millis aNow) { mBusyAt = aNow; }
  void OnPeerUpdate(const ConnectionUseUpdate& aUpdate, Millis aNow);

  /** Whether entries have to know this one's use. */
  bool IsReporting(Millis aNow) const;
  bool IsBusy(Millis aNow) const;
  /** This entry has reported its use. */
  void OnReported(const std::vector<ConnectionUse>& aUses);

  /** Maximum number of idle connections to an upstream. */
  size_t MaxIdle(const ConnectionLimits& aLimits, Millis aNow) const;

  /** Maximum number of this entry's connections to the upstream. */
  uint32_t Limit(const UpstreamId& aUpstream,
                 const ConnectionLimits& aLimits,
                 Millis aNow) const;

private:
  using Uses = std::unordered_map<UpstreamId, uint32_t>;
  struct Peer
  {
    uint64_t mProcess = 0;
    uint64_t mSequence = 0;
    bool mBusy = false;
    Uses mUses;
    Millis mReceivedAt;
  };

  static uint32_t UseOf(const Uses& aUses, const UpstreamId& aUpstream);

  size_t mEntries = 0;
  Millis mBusyAt = Millis(0) - Millis(1000000);
  Uses mReported;
  std::map<std::string, Peer> mPeers;
};

} // namespace trefoilarch
