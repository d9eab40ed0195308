#include "socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace trefoilgate {

namespace {

void
SetNumber(int aSocket, int aLevel, int aName, int aValue)
{
  // A kernel without the option is acceptable; request timers still bound every
  // wait.
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
SetSocketOptions(boost::asio::ip::tcp::socket& aSocket,
                 const KeepaliveOptions& aKeepalive)
{
  const int handle = aSocket.native_handle();
  SetNumber(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetNumber(handle,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aKeepalive.mUserTimeout.Count()));
  SetNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetNumber(
    handle, IPPROTO_TCP, TCP_KEEPIDLE, aKeepalive.mKeepaliveIdleSeconds);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, aKeepalive.mKeepaliveProbes);
}

} // namespace trefoilgate
