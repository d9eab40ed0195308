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
  int64_t mTime = 0; /**< monotonic milliseconds */
  size_t mRunning = 0;
  size_t mWaiting = 0;
  double mCacheUsage = 0;
};

/** The load that the engine publishes, delayed by a configurable lag. */
class LoadReports
{
public:
  void SetLag(int64_t aMillis);
  void Add(LoadReport aReport);
  /** Returns the Prometheus text format with the metric names of vLLM. */
  std::string Text(int64_t aNow);

private:
  std::mutex mMutex;
  int64_t mLag = 0;
  std::deque<LoadReport> mReports;
};

} // namespace standin
