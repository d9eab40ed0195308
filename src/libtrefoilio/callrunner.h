#pragma once

#include "httpmessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoilio {

/** Result of a finished call. */
enum class CallEnd
{
  Complete,
  NeverSent, /**< no connection was made; the upstream received nothing */
  Broken,    /**< any other failure; the upstream may have run the call */
};

/** Callbacks of one call, all invoked on the runner's thread. */
struct CallHooks
{
  std::function<void(int aStatus, HttpHeaders aHeaders)> mOnHead{};
  std::function<void(std::string aData)> mOnData{};
  std::function<void(CallEnd aEnd)> mOnEnd{};
};

/** Limits of a CallRunner. */
struct CallRunnerOptions
{
  long mConnectMillis = 1000;
  size_t mMaxConnections = 512;
};

/**
 * Runs concurrent HTTP calls on one thread, over kept-alive connections. Each
 * request is sent once at most, and a call can be cancelled at any time.
 */
class CallRunner
{
public:
  explicit CallRunner(CallRunnerOptions aOptions);
  ~CallRunner();
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /** Starts a call; mTarget is the full URL. The id is never 0. */
  uint64_t Start(HttpRequest aRequest, CallHooks aHooks);

  /**
   * Closes the call's connection within milliseconds. No hook is called after
   * mOnEnd, and mOnEnd is not called for a cancelled call.
   */
  void Cancel(uint64_t aCall);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilio
