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
  const std::string hostAndPort =
    slash == std::string::npos ? aAddress : aAddress.substr(slash + 1);
  const size_t colon = hostAndPort.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<uint16_t>(std::stoi(hostAndPort.substr(colon + 1))));
  inet_pton(AF_INET, hostAndPort.substr(0, colon).c_str(), &address.sin_addr);
  static_cast<void>(connect(
    mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
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
RawCaller::ReadAll(int aIdleTimeoutMillis) const
{
  return ReadUntil("", aIdleTimeoutMillis);
}

std::string
RawCaller::ReadUntil(const std::string& aSuffix, int aIdleTimeoutMillis) const
{
  return ReadAnswer(aSuffix, aIdleTimeoutMillis).mText;
}

RawAnswer
RawCaller::ReadAnswer(const std::string& aSuffix, int aIdleTimeoutMillis) const
{
  RawAnswer answer;
  std::array<char, 4096> bytes;
  pollfd wait{ .fd = mSocket, .events = POLLIN, .revents = 0 };
  const auto isComplete = [&] {
    return !aSuffix.empty() && answer.mText.ends_with(aSuffix);
  };
  while (!isComplete() && poll(&wait, 1, aIdleTimeoutMillis) > 0) {
    const ssize_t count = recv(mSocket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      answer.mEnd = count == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset;
      break;
    }
    answer.mText.append(bytes.data(), static_cast<size_t>(count));
  }
  return answer;
}

} // namespace integration
