#include "loadreports.h"

#include <sstream>

namespace standin {

void
LoadReports::SetLag(int64_t aMillis)
{
  const std::lock_guard lock(mMutex);
  mLag = aMillis;
}

void
LoadReports::Add(LoadReport aReport)
{
  const std::lock_guard lock(mMutex);
  mReports.push_back(aReport);
  while (mReports.size() > 1 && mReports[1].mTime + mLag <= aReport.mTime) {
    mReports.pop_front();
  }
}

std::string
LoadReports::Text(int64_t aNow)
{
  const std::lock_guard lock(mMutex);
  LoadReport published;
  for (const LoadReport& report : mReports) {
    if (report.mTime + mLag <= aNow) {
      published = report;
    }
  }
  std::ostringstream text;
  text << "# TYPE vllm:num_requests_running gauge\n"
       << "vllm:num_requests_running " << published.mRunning << '\n'
       << "# TYPE vllm:num_requests_waiting gauge\n"
       << "vllm:num_requests_waiting " << published.mWaiting << '\n'
       << "# TYPE vllm:gpu_cache_usage_perc gauge\n"
       << "vllm:gpu_cache_usage_perc " << published.mCacheUsage << '\n';
  return text.str();
}

} // namespace standin
