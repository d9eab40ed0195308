#pragma once

#include "libtrefoilarch/millis.h"

#include <boost/asio/ip/tcp.hpp>

namespace trefoilgate {

/** How soon a peer that has gone silent is noticed by the kernel. */
struct SilenceOptions
{
  /** Unacknowledged bytes for this long break the connection. */
  trefoilarch::Millis mUnacknowledged{ 2000 };
  /** Nothing heard for this long: the kernel asks... */
  int mProbeAfterSeconds = 1;
  /** ...once a second, this many times, and then breaks it. */
  int mProbes = 3;
};

/** Sends small writes at once and watches for silence. */
void
SetOptions(boost::asio::ip::tcp::socket& aSocket,
           const SilenceOptions& aSilence);

} // namespace trefoilgate
