#include "listensocket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace trefoilio {

namespace {

constexpr int kBacklog = 1024;

std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>
Resolve(const std::string& aAddress, uint16_t aPort)
{
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  const std::string port = std::to_string(aPort);
  if (getaddrinfo(aAddress.c_str(), port.c_str(), &hints, &found) != 0) {
    throw std::runtime_error("not a numeric address: " + aAddress);
  }
  return { found, &freeaddrinfo };
}

} // namespace

ListenSocket::ListenSocket(const std::string& aAddress, uint16_t aPort)
{
  const auto endpoint = Resolve(aAddress, aPort);
  mSocket = socket(endpoint->ai_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                   IPPROTO_TCP);
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (mSocket < 0 ||
      bind(mSocket, endpoint->ai_addr, endpoint->ai_addrlen) != 0 ||
      listen(mSocket, kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (mSocket >= 0) {
      close(mSocket);
    }
    throw std::runtime_error("cannot listen on " + aAddress + ":" +
                             std::to_string(aPort) + ": " + reason);
  }
}

ListenSocket::~ListenSocket()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

uint16_t
ListenSocket::Port() const
{
  sockaddr_storage endpoint{};
  socklen_t length = sizeof endpoint;
  getsockname(mSocket, reinterpret_cast<sockaddr*>(&endpoint), &length);
  if (endpoint.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&endpoint)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&endpoint)->sin_port);
}

} // namespace trefoilio
