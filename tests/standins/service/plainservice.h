#pragma once

#include "common/executionlog.h"
#include "common/standinserver.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace standin {

/**
 * A plain service: echoes method, path, body hash and request id as JSON, after
 * a delay, and records each execution. Paths under `/_control/` are its
 * controls: `POST /_control/set` with `delay_ms`, `fail` (a status; the call
 * has run), `cut` (true: run the call and drop the connection) and
 * `GET /_control/executions`.
 */
class PlainService
{
public:
  PlainService(int64_t aDelayMillis, const std::string& aRecordFile);

  void Handle(Exchange& aExchange);

private:
  void Execute(Exchange& aExchange);
  void SetControls(Exchange& aExchange);
  /** False where the client left in the meantime. */
  bool Work(const Exchange& aExchange) const;

  ExecutionLog mExecutions;
  std::atomic<int64_t> mDelay;
  std::atomic<int> mFail = 0;
  std::atomic<bool> mCut = false;
};

} // namespace standin
