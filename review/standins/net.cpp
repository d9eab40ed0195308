#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in
AddressOf(const std::string& aIp, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

bool
Bind(int aDescriptor, const std::string& aIp, uint16_t aPort)
{
  const sockaddr_in address = AddressOf(aIp, aPort);
  return bind(aDescriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
}

int
MillisUntil(Clock::time_point aUntil)
{
  const auto left =
    std::chrono::duration_cast<Ms>(aUntil - Clock::now()).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, 600000));
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return aText;
}

std::string
Trimmed(const std::string& aText)
{
  const size_t first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

Message
ParseHead(const std::string& aHead)
{
  Message message;
  std::istringstream lines(aHead);
  std::string line;
  std::getline(lines, line);
  line = Trimmed(line);
  const size_t first = line.find(' ');
  const size_t second =
    first == std::string::npos ? first : line.find(' ', first + 1);
  message.mFirst = line.substr(0, first);
  if (first != std::string::npos) {
    message.mSecond = line.substr(first + 1, second - first - 1);
  }
  if (second != std::string::npos) {
    message.mThird = line.substr(second + 1);
  }
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message.mHeaders.emplace_back(Lower(line.substr(0, colon)),
                                    Trimmed(line.substr(colon + 1)));
    }
  }
  return message;
}

} // namespace

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  if (this != &aOther) {
    Close();
    mDescriptor = std::exchange(aOther.mDescriptor, -1);
  }
  return *this;
}

void
Socket::Close()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

bool
Message::Has(const std::string& aName) const
{
  return std::any_of(mHeaders.begin(), mHeaders.end(), [&](const auto& aEach) {
    return aEach.first == aName;
  });
}

int
Message::Status() const
{
  return std::atoi(mSecond.c_str());
}

std::string
Message::Path() const
{
  return mSecond.substr(0, mSecond.find('?'));
}

std::string
Message::Parameter(const std::string& aName) const
{
  const size_t query = mSecond.find('?');
  std::istringstream pairs(
    query == std::string::npos ? "" : mSecond.substr(query + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
  }
  return "";
}

Socket
Listen(const std::string& aIp, uint16_t aPort)
{
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int yes = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  constexpr int kBacklog = 256;
  if (!Bind(listener.Get(), aIp, aPort) ||
      listen(listener.Get(), kBacklog) != 0) {
    listener.Close();
  }
  return listener;
}

uint16_t
PortOf(const Socket& aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aSocket.Get(), reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

uint16_t
FreePort(const std::string& aIp)
{
  for (;;) {
    const Socket stream = Listen(aIp, 0);
    const uint16_t port = PortOf(stream);
    const Socket datagrams(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    if (Bind(datagrams.Get(), aIp, port)) {
      return port;
    }
  }
}

Socket
Connect(const std::string& aAddress, Ms aTimeout)
{
  const size_t colon = aAddress.rfind(':');
  const sockaddr_in address =
    AddressOf(aAddress.substr(0, colon),
              static_cast<uint16_t>(std::atoi(&aAddress[colon + 1])));
  Socket connection(
    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int yes = 1;
  setsockopt(connection.Get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  const int begun = connect(connection.Get(),
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address));
  if (begun != 0 && errno != EINPROGRESS) {
    return {};
  }
  pollfd waiting{ .fd = connection.Get(), .events = POLLOUT, .revents = 0 };
  int error = 0;
  socklen_t length = sizeof(error);
  if (poll(&waiting, 1, static_cast<int>(aTimeout.count())) != 1 ||
      getsockopt(connection.Get(), SOL_SOCKET, SO_ERROR, &error, &length) !=
        0 ||
      error != 0) {
    return {};
  }
  return connection;
}

bool
SendAll(int aDescriptor, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(
      aDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    pollfd waiting{ .fd = aDescriptor, .events = POLLOUT, .revents = 0 };
    constexpr int kMaxWait = 5000;
    if (poll(&waiting, 1, kMaxWait) != 1) {
      return false;
    }
  }
  return true;
}

bool
Reader::Fill(Clock::time_point aUntil)
{
  pollfd waiting{ .fd = mDescriptor, .events = POLLIN, .revents = 0 };
  if (poll(&waiting, 1, MillisUntil(aUntil)) != 1) {
    return false;
  }
  constexpr size_t kChunk = 65536;
  const size_t before = mBytes.size();
  mBytes.resize(before + kChunk);
  const ssize_t count = recv(mDescriptor, &mBytes[before], kChunk, 0);
  mBytes.resize(before + static_cast<size_t>(std::max<ssize_t>(count, 0)));
  return count > 0;
}

std::optional<Message>
Reader::NextHead(Clock::time_point aUntil)
{
  size_t end = mBytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return std::nullopt;
    }
    end = mBytes.find("\r\n\r\n");
  }
  Message message = ParseHead(mBytes.substr(0, end));
  mBytes.erase(0, end + 4);
  return message;
}

bool
Reader::ReadBody(Message& aMessage, Clock::time_point aUntil)
{
  if (aMessage.Header("transfer-encoding") != "chunked") {
    const auto length = static_cast<size_t>(
      std::max(0, std::atoi(aMessage.Header("content-length").c_str())));
    while (mBytes.size() < length) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    aMessage.mBody = mBytes.substr(0, length);
    mBytes.erase(0, length);
    return true;
  }
  for (;;) {
    size_t end = mBytes.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(aUntil)) {
        return false;
      }
      end = mBytes.find("\r\n");
    }
    constexpr int kHexadecimal = 16;
    const size_t length =
      std::strtoul(mBytes.substr(0, end).c_str(), nullptr, kHexadecimal);
    while (mBytes.size() < end + 2 + length + 2) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    aMessage.mBody += mBytes.substr(end + 2, length);
    mBytes.erase(0, end + 2 + length + 2);
    if (length == 0) {
      return true;
    }
  }
}

std::optional<Message>
Reader::Next(Clock::time_point aUntil)
{
  auto message = NextHead(aUntil);
  if (message && !ReadBody(*message, aUntil)) {
    return std::nullopt;
  }
  return message;
}

std::string
ToBase64(const std::string& aText)
{
  static constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aText.size(); at += 3) {
    uint32_t three = 0;
    for (size_t each = 0; each < 3; ++each) {
      three <<= 8U;
      if (at + each < aText.size()) {
        three |= static_cast<unsigned char>(aText[at + each]);
      }
    }
    const size_t digits = std::min<size_t>(3, aText.size() - at) + 1;
    for (size_t each = 0; each < 4; ++each) {
      const uint32_t digit = (three >> (18U - 6U * each)) & 63U;
      out += each < digits ? kDigits[digit] : '=';
    }
  }
  return out;
}

} // namespace review
