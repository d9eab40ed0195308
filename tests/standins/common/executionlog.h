#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace standin {

/** One run of a request by an upstream stand-in. */
struct Execution
{
  std::string mId;        /**< its X-Request-Id */
  int64_t mStartTime = 0; /**< monotonic milliseconds of the host */
  int64_t mEndTime = 0;   /**< 0 while it runs */
  uint64_t mTokens = 0;   /**< generated, whether received or not */
  bool mFinished = false;
  bool mCancelled = false;
  bool mCrashed = false;
  uint64_t mBodyHash = 0;
  std::string mMark; /**< `[[mark=...]]` of the prompt, or the path */
};

/** Records every execution of an upstream, so that a test can count them. */
class ExecutionLog
{
public:
  /**
   * Also appends `<id> <mark>` to the file when an execution begins, so that
   * the record outlives a killed stand-in; an empty path: no file.
   */
  explicit ExecutionLog(const std::string& aFile = "");

  /** Returns the number of the execution for the calls below. */
  size_t Begin(Execution aExecution);
  void CountToken(size_t aNumber);
  void Finish(size_t aNumber);
  void Cancel(size_t aNumber);
  void Crash(size_t aNumber);
  nlohmann::json Dump() const;

private:
  mutable std::mutex mMutex;
  std::ofstream mFile;
  std::deque<Execution> mExecutions;
};

/** Returns the host's monotonic clock in milliseconds. */
int64_t
MonotonicMillis();

} // namespace standin
