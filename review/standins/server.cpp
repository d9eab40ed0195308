#include "server.h"

#include <poll.h>
#include <sys/socket.h>

namespace review {

bool
IsClosed(int aDescriptor)
{
  char byte = 0;
  const ssize_t count = recv(aDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

Server::Server(std::string aIp, Serve aServe)
  : mIp(std::move(aIp))
  , mServe(std::move(aServe))
  , mListener(Listen(mIp, 0))
{
  mPort = PortOf(mListener);
  mAcceptor = std::thread([this] { Accept(); });
}

Server::~Server()
{
  mStopping = true;
  GoAway();
  mAcceptor.join();
  for (std::thread& each : mThreads) {
    each.join();
  }
}

std::string
Server::Address() const
{
  return mIp + ":" + std::to_string(mPort);
}

void
Server::GoAway()
{
  const std::lock_guard lock(mMutex);
  mListener.Close();
  for (const auto& [descriptor, open] : mOpen) {
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(descriptor, SHUT_RD);
  }
}

void
Server::ComeBack()
{
  const std::lock_guard lock(mMutex);
  mListener = Listen(mIp, mPort);
}

void
Server::Accept()
{
  while (!mStopping) {
    int listener = -1;
    {
      const std::lock_guard lock(mMutex);
      listener = mListener.Get();
    }
    pollfd waiting{ .fd = listener, .events = POLLIN, .revents = 0 };
    constexpr int kPollMs = 10;
    if (poll(&waiting, 1, kPollMs) != 1) {
      continue;
    }
    const std::lock_guard lock(mMutex);
    if (!mListener.IsOpen()) {
      continue;
    }
    Socket connection(accept4(mListener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (connection.IsOpen()) {
      mOpen[connection.Get()] = true;
      mThreads.emplace_back([this, taken = std::move(connection)]() mutable {
        Handle(std::move(taken));
      });
    }
  }
}

void
Server::Handle(Socket aConnection)
{
  mServe(aConnection.Get());
  const std::lock_guard lock(mMutex);
  mOpen.erase(aConnection.Get());
  aConnection.Close();
}

} // namespace review
