#include "signalblock.h"

#include <pthread.h>
#include <utility>

namespace trefoilio {

SignalBlock::SignalBlock()
{
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGHUP);
  sigaddset(&blocked, SIGINT);
  sigaddset(&blocked, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &blocked, &mBefore);
}

SignalBlock::~SignalBlock()
{
  Release();
}

bool
SignalBlock::IsStopPending() const
{
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

void
SignalBlock::IgnoreAll()
{
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGINT, SIG_IGN);
  std::signal(SIGTERM, SIG_IGN);
}

void
SignalBlock::Release()
{
  if (std::exchange(mBlocked, false)) {
    pthread_sigmask(SIG_SETMASK, &mBefore, nullptr);
  }
}

} // namespace trefoilio
