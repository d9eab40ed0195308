#include "rawcaller.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace integration {

RawCaller::RawCaller(const std::string& aAddress)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const size_t slash = aAddress.rfind('/');
  const std::string bare =
    slash == std::string::npos ? aAddress : aAddress.substr(slash + 1);
  const size_t colon = bare.rfind(':');
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port =
    htons(static_cast<uint16_t>(std::stoi(bare.substr(colon + 1))));
  inet_pton(AF_INET, bare.substr(0, colon).c_str(), &place.sin_addr);
  static_cast<void>(
    connect(mSocket, reinterpret_cast<const sockaddr*>(&place), sizeof(place)));
}

RawCaller::~RawCaller()
{
  close(mSocket);
}

bool
RawCaller::Send(const std::string& aText) const
{
  return send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(aText.size());
}

std::string
RawCaller::ReadAll(int aQuietMillis) const
{
  return ReadUntil("", aQuietMillis);
}

std::string
RawCaller::ReadUntil(const std::string& aEnd, int aQuietMillis) const
{
  std::string text;
  std::array<char, 4096> bytes;
  pollfd wait{ .fd = mSocket, .events = POLLIN, .revents = 0 };
  const auto isWhole = [&] { return !aEnd.empty() && text.ends_with(aEnd); };
  while (!isWhole() && poll(&wait, 1, aQuietMillis) > 0) {
    const ssize_t got = recv(mSocket, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      break;
    }
    text.append(bytes.data(), static_cast<size_t>(got));
  }
  return text;
}

} // namespace integration
