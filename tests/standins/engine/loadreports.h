#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace standin {

/** An engine's load at one moment. */
struct LoadReport
{
  int64_t mAt = 0; /**< monotonic milliseconds */
  size_t mRunning = 0;
  size_t mWaiting = 0;
  double mCacheUsage = 0;
};

/** The engine's load as it publishes it: late by a settable lag. */
class LoadReports
{
public:
  void SetLag(int64_t aMillis);
  void Add(LoadReport aReport);
  /** In the Prometheus text format, under the names that vLLM publishes. */
  std::string Text(int64_t aNow);

private:
  std::mutex mMutex;
  int64_t mLag = 0;
  std::deque<LoadReport> mReports;
};

} // namespace standin
