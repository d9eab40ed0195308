#pragma once

#include "common/executionlog.h"
#include "common/standinserver.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace standin {

/**
 * A plain service: echoes method, path, body hash and request id as JSON, after
 * a delay, and records each execution. It is controlled by `POST /_control/set`
 * with `delay_ms`, `fail` (status to send after the call has run) and `cut`
 * (true: run the call and reset the connection) and `unframed` (true: responses
 * end with their connection; `half` sends half of the body only);
 * `GET /_control/executions` returns the executions.
 */
class PlainService
{
public:
  PlainService(int64_t aDelayMillis, const std::string& aRecordFile);

  void Handle(Exchange& aExchange);

private:
  void Execute(Exchange& aExchange);
  void Send(Exchange& aExchange, int aStatus, const std::string& aBody) const;
  void SetControls(Exchange& aExchange);
  /** Waits for the delay; returns false if the client disconnected. */
  bool WaitForDelay(const Exchange& aExchange) const;

  ExecutionLog mExecutions;
  std::atomic<int64_t> mDelay;
  std::atomic<int> mFailStatus = 0;
  std::atomic<bool> mCut = false;
  std::atomic<bool> mUnframed = false;
  std::atomic<bool> mHalf = false;
};

} // namespace standin
