#pragma once

#include <csignal>

namespace trefoilio {

/**
 * Holds back SIGHUP, SIGINT and SIGTERM while a process starts, so that one
 * that arrives before its handler takes effect afterwards instead of ending the
 * process. Threads that are started meanwhile never receive them.
 */
class SignalBlock
{
public:
  SignalBlock();
  ~SignalBlock();
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

  /** Whether a SIGINT or SIGTERM is held back. */
  bool IsStopPending() const;
  /** Ignores the signals from now on, as the process ends. */
  static void IgnoreAll();
  /** Delivers what was held back. */
  void Release();

private:
  sigset_t mBefore{};
  bool mBlocked = true;
};

} // namespace trefoilio
