#include "executionlog.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace standin {

int64_t
MonotonicMillis()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ExecutionLog::ExecutionLog(const std::string& aFile)
{
  if (!aFile.empty()) {
    mFile.open(aFile, std::ios::app);
  }
}

size_t
ExecutionLog::Begin(Execution aExecution)
{
  const std::lock_guard lock(mMutex);
  if (mFile.is_open()) {
    mFile << aExecution.mId + " " + aExecution.mMark + "\n" << std::flush;
  }
  aExecution.mStartTime = MonotonicMillis();
  mExecutions.push_back(std::move(aExecution));
  return mExecutions.size() - 1;
}

void
ExecutionLog::CountToken(size_t aNumber)
{
  const std::lock_guard lock(mMutex);
  ++mExecutions[aNumber].mTokens;
}

void
ExecutionLog::Finish(size_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mExecutions[aNumber].mFinished = true;
  mExecutions[aNumber].mEndTime = MonotonicMillis();
}

void
ExecutionLog::Cancel(size_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mExecutions[aNumber].mCancelled = true;
  mExecutions[aNumber].mEndTime = MonotonicMillis();
}

void
ExecutionLog::Crash(size_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mExecutions[aNumber].mCrashed = true;
  mExecutions[aNumber].mEndTime = MonotonicMillis();
}

nlohmann::json
ExecutionLog::Dump() const
{
  const std::lock_guard lock(mMutex);
  nlohmann::json list = nlohmann::json::array();
  for (const Execution& execution : mExecutions) {
    list.push_back({ { "id", execution.mId },
                     { "started_ms", execution.mStartTime },
                     { "ended_ms", execution.mEndTime },
                     { "tokens", execution.mTokens },
                     { "finished", execution.mFinished },
                     { "cancelled", execution.mCancelled },
                     { "crashed", execution.mCrashed },
                     { "body_hash", std::to_string(execution.mBodyHash) },
                     { "mark", execution.mMark } });
  }
  return list;
}

} // namespace standin
