#pragma once

#include "ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** Connections of an entry to an upstream, in use or idle. */
struct ConnectionUse
{
  UpstreamId mUpstream;
  uint32_t mConnections = 0;

  bool operator==(const ConnectionUse&) const = default;
};

/** An entry's connections to upstreams. Each message replaces the last one of
 * its sender; messages may be lost, duplicated, delayed or reordered. */
struct ConnectionUseUpdate
{
  std::string mFrom;
  /** Identifies the process among those of the same name. */
  uint64_t mProcess = 0;
  /** Increases with each message of a process. */
  uint64_t mSequence = 0;
  /** Whether the sender needs much of its share of an upstream's connections.
   */
  bool mBusy = false;
  /** The upstreams with the most connections; those without any are left out.
   */
  std::vector<ConnectionUse> mUses;

  /** Maximum number of upstreams in a message, so that a datagram holds all. */
  static constexpr size_t kMaxUses = 48;

  bool operator==(const ConnectionUseUpdate&) const = default;
};

} // namespace trefoilarch
