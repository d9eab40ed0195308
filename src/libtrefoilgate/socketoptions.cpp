#include "socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace trefoilgate {

namespace {

/**
 * Bytes that the kernel takes beyond what the peer's window allows to be sent.
 * By default it takes megabytes, which are not counted as held for a slow
 * caller or upstream but do use the host's memory.
 */
constexpr int kMaxUnsentBytes = 131072;

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
  SetUserTimeout(aSocket, aKeepalive.mUserTimeout);
  SetNumber(handle, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
  SetNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetNumber(
    handle, IPPROTO_TCP, TCP_KEEPIDLE, aKeepalive.mKeepaliveIdleSeconds);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, aKeepalive.mKeepaliveProbes);
}

void
SetUserTimeout(boost::asio::ip::tcp::socket& aSocket,
               trefoilarch::Millis aTimeout)
{
  SetNumber(aSocket.native_handle(),
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aTimeout.Count()));
}

} // namespace trefoilgate
