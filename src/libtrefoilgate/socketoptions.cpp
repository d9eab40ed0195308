#include "socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace trefoilgate {

namespace {

void
SetNumber(int aSocket, int aLevel, int aName, int aValue)
{
  // A kernel without the option serves without it; the timers of the
  // requests still bound every wait.
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
SetSocketOptions(boost::asio::ip::tcp::socket& aSocket,
                 const KeepaliveOptions& aSilence)
{
  const int handle = aSocket.native_handle();
  SetNumber(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetNumber(handle,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aSilence.mUserTimeout.Count()));
  SetNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPIDLE, aSilence.mKeepaliveIdleSeconds);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, aSilence.mKeepaliveProbes);
}

} // namespace trefoilgate
