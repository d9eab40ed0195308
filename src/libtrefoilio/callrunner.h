#pragma once

#include "httpmessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoilio {

/** How a call ended. */
enum class CallEnd
{
  Whole,
  NeverSent, /**< no connection was made: the upstream has seen nothing */
  Broken,    /**< anything else; the upstream may have run it */
};

/** Callbacks of one call; all on the runner's own thread. */
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
 * Runs any number of HTTP calls at once on one thread, by libcurl's multi
 * interface: a call can be cancelled at any moment, silent or not, which the
 * ulfius client cannot do.
 */
class CallRunner
{
public:
  explicit CallRunner(CallRunnerOptions aOptions);
  ~CallRunner();
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /** Starts a call; mTarget is the whole URL. The id is not 0. */
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
