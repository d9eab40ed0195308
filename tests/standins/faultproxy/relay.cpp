#include "relay.h"

#include "common/executionlog.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <vector>

namespace standin {

namespace {

sockaddr_in
ParseAddress(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<uint16_t>(std::stoi(aText.substr(colon + 1))));
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

[[noreturn]] void
ThrowLastError(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

UniqueFd
Connect(const std::string& aTarget)
{
  UniqueFd socketFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = ParseAddress(aTarget);
  const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
  if (connect(socketFd.Value(), socketAddress, sizeof(address)) != 0) {
    return UniqueFd();
  }
  return socketFd;
}

void
DisableNagle(const UniqueFd& aSocket)
{
  const int enabled = 1;
  setsockopt(
    aSocket.Value(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

Relay::Relay(const std::string& aListen, const std::string& aTarget)
  : mTarget(aTarget)
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int enabled = 1;
  setsockopt(
    mListener.Value(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = ParseAddress(aListen);
  const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
  if (bind(mListener.Value(), socketAddress, sizeof(address)) != 0 ||
      listen(mListener.Value(), SOMAXCONN) != 0) {
    ThrowLastError("listen");
  }
  std::array<int, 2> pipeEnds{};
  if (pipe2(pipeEnds.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    ThrowLastError("pipe");
  }
  mWakeRead = UniqueFd(pipeEnds[0]);
  mWakeWrite = UniqueFd(pipeEnds[1]);
}

std::string
Relay::Endpoint() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(mListener.Value(), reinterpret_cast<sockaddr*>(&address), &size);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(address.sin_port));
}

void
Relay::Run()
{
  while (true) {
    std::vector<pollfd> sockets;
    sockets.push_back(
      { .fd = mListener.Value(), .events = POLLIN, .revents = 0 });
    sockets.push_back(
      { .fd = mWakeRead.Value(), .events = POLLIN, .revents = 0 });
    int wait = 0;
    {
      const std::lock_guard lock(mMutex);
      const int64_t now = MonotonicMillis();
      for (const Link& link : mLinks) {
        for (const Direction direction : { Direction::Up, Direction::Down }) {
          const short events = link.Events(direction, mFaults, now);
          sockets.push_back({ .fd = events == 0 ? -1 : link.Socket(direction),
                              .events = events,
                              .revents = 0 });
        }
      }
      wait = WaitMillis(now);
    }
    poll(sockets.data(), sockets.size(), wait);
    std::array<char, 64> drained;
    while (read(mWakeRead.Value(), drained.data(), drained.size()) > 0) {
    }
    TransferAll();
    if ((sockets[0].revents & POLLIN) != 0) {
      Accept();
    }
  }
}

int
Relay::WaitMillis(int64_t aNow) const
{
  constexpr int64_t kMaxWait = 1000;
  constexpr int64_t kThrottledWait = 10;
  int64_t wait = mFaults.mThrottle == 0 ? kMaxWait : kThrottledWait;
  for (const Link& link : mLinks) {
    const int64_t due = link.NextDue();
    if (due > aNow) {
      wait = std::min(wait, due - aNow);
    }
  }
  return static_cast<int>(std::max<int64_t>(wait, 0));
}

void
Relay::TransferAll()
{
  const std::lock_guard lock(mMutex);
  const int64_t now = MonotonicMillis();
  for (Link& link : mLinks) {
    for (const Direction direction : { Direction::Up, Direction::Down }) {
      link.ReceiveIfReady(direction, POLLIN, mFaults, mCounts, now);
    }
    for (const Direction direction : { Direction::Up, Direction::Down }) {
      link.Flush(direction, mFaults, mCounts, now);
    }
  }
  mLinks.remove_if([](const Link& aLink) { return aLink.Finished(); });
}

void
Relay::Accept()
{
  UniqueFd client(accept4(mListener.Value(), nullptr, nullptr, SOCK_CLOEXEC));
  if (!client.Open()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  ++mCounts.mConnections;
  UniqueFd target = mFaults.mRefuseNew ? UniqueFd() : Connect(mTarget);
  if (!target.Open()) {
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(client.Value(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    return;
  }
  DisableNagle(client);
  DisableNagle(target);
  mLinks.emplace_back(std::move(client), std::move(target));
  if (mFaults.mSilenceNew) {
    mLinks.back().Silence(Direction::Up);
    mLinks.back().Silence(Direction::Down);
  }
}

void
Relay::Wake() const
{
  const char byte = 0;
  static_cast<void>(write(mWakeWrite.Value(), &byte, 1) == 1);
}

void
Relay::SetFaults(const std::function<void(LinkFaults&)>& aChange)
{
  {
    const std::lock_guard lock(mMutex);
    aChange(mFaults);
  }
  Wake();
}

void
Relay::ForEachLink(const std::function<void(Link&)>& aAction)
{
  {
    const std::lock_guard lock(mMutex);
    for (Link& link : mLinks) {
      aAction(link);
    }
  }
  Wake();
}

LinkCounts
Relay::Counts() const
{
  const std::lock_guard lock(mMutex);
  LinkCounts counts = mCounts;
  counts.mOpen = mLinks.size();
  return counts;
}

} // namespace standin
