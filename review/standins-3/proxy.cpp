#include "proxy.h"

#include <array>
#include <memory>
#include <sys/socket.h>

namespace review {

Proxy::Proxy(int aTarget)
  : mTarget(aTarget)
  , mListener(Listen(0))
  , mPort(PortOf(mListener))
{
  std::thread([this] { Run(); }).detach();
}

void
Proxy::AwaitHeal() const
{
  while (mCut) {
    SleepMs(2);
  }
}

void
Proxy::Relay(Socket& aFrom, Socket& aTo) const
{
  std::array<char, 65536> buffer{};
  for (;;) {
    const int count = aFrom.Receive(buffer.data(), buffer.size(), 60000);
    AwaitHeal();
    if (count > 0) {
      if (!aTo.Send({ buffer.data(), static_cast<size_t>(count) })) {
        return;
      }
    } else if (count == 0) {
      shutdown(aTo.Fd(), SHUT_WR);
      return;
    } else if (count == -1) {
      aTo.Reset();
      return;
    }
  }
}

void
Proxy::Run()
{
  for (;;) {
    auto caller = std::make_shared<Socket>(Accept(mListener));
    if (!caller->Open()) {
      return;
    }
    std::thread([this, caller] {
      AwaitHeal();
      const auto worker = std::make_shared<Socket>(Connect(mTarget));
      if (!worker->Open()) {
        caller->Reset();
        return;
      }
      std::thread([this, caller, worker] { Relay(*caller, *worker); }).detach();
      Relay(*worker, *caller);
    }).detach();
  }
}

} // namespace review
