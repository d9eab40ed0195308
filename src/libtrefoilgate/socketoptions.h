#pragma once

#include "libtrefoilarch/millis.h"

#include <boost/asio/ip/tcp.hpp>

namespace trefoilgate {

/** How soon a peer that has gone silent is noticed by the kernel. */
struct KeepaliveOptions
{
  /** Unacknowledged bytes for this long break the connection. */
  trefoilarch::Millis mUserTimeout{ 2000 };
  /** Nothing heard for this long: the kernel asks... */
  int mKeepaliveIdleSeconds = 1;
  /** ...once a second, this many times, and then breaks it. */
  int mKeepaliveProbes = 3;
};

/** Sends small writes at once and watches for silence. */
void
SetSocketOptions(boost::asio::ip::tcp::socket& aSocket,
                 const KeepaliveOptions& aSilence);

} // namespace trefoilgate
