#include "socketwriting.h"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace trefoilio {

void
ResetConnection(int aSocket)
{
  // A zero linger time is not enough: libmicrohttpd shuts down its end first,
  // which the caller would see as a regular close.
  const sockaddr unspecified{ .sa_family = AF_UNSPEC, .sa_data = {} };
  (void)connect(aSocket, &unspecified, sizeof unspecified);
}

void
SetResetOnClose(int aSocket, bool aReset)
{
  const linger option{ .l_onoff = aReset ? 1 : 0, .l_linger = 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool
WriteAll(int aSocket,
         std::string_view aBytes,
         std::chrono::milliseconds aTimeout)
{
  while (!aBytes.empty()) {
    const ssize_t written =
      send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (written > 0) {
      aBytes.remove_prefix(static_cast<size_t>(written));
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    pollfd entry{ .fd = aSocket, .events = POLLOUT, .revents = 0 };
    const bool full = errno == EAGAIN || errno == EWOULDBLOCK;
    if (!full || poll(&entry, 1, static_cast<int>(aTimeout.count())) <= 0) {
      return false;
    }
  }
  return true;
}

} // namespace trefoilio
