#pragma once

#include "libtrefoilarch/millis.h"

#include <boost/asio/ip/tcp.hpp>

namespace trefoilgate {

/** How soon the kernel detects an unresponsive peer. */
struct KeepaliveOptions
{
  /** Unacknowledged bytes for this long break the connection. */
  trefoilarch::Millis mUserTimeout{ 2000 };
  /** Keepalive probes start after this time without received data. */
  int mKeepaliveIdleSeconds = 1;
  /** Probes are sent once a second; the connection breaks after this many
   * unanswered ones. */
  int mKeepaliveProbes = 3;
};

/** Disables Nagle's algorithm, bounds what the kernel holds for a slow peer and
 * sets up the detection of unresponsive peers. */
void
SetSocketOptions(boost::asio::ip::tcp::socket& aSocket,
                 const KeepaliveOptions& aKeepalive);

/** Changes KeepaliveOptions::mUserTimeout; zero: as long as the kernel keeps
 * trying. */
void
SetUserTimeout(boost::asio::ip::tcp::socket& aSocket,
               trefoilarch::Millis aTimeout);

} // namespace trefoilgate
