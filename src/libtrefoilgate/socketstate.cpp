#include "socketstate.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace trefoilgate {

bool
HasEndedInOrder(boost::asio::ip::tcp::socket& aSocket)
{
  const int handle = aSocket.native_handle();
  int unacknowledged = 0;
  if (ioctl(handle, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0) {
    return false;
  }
  // A peer that closes in order leaves this side in TCP_CLOSE_WAIT.
  tcp_info info{};
  socklen_t length = sizeof info;
  return getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
         info.tcpi_state != TCP_CLOSE;
}

} // namespace trefoilgate
