#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace standin {

/** The platform's host list; a change becomes visible after a lag. */
class HostList
{
public:
  void SetLag(int64_t aMillis);
  void Replace(nlohmann::json aHosts);
  /** Returns the HTTP service discovery format of Prometheus. */
  std::string Text();

private:
  std::mutex mMutex;
  int64_t mLag = 0;
  nlohmann::json mVisible = nlohmann::json::array();
  /** Versions that are not yet visible, with the time of each change. */
  std::deque<std::pair<int64_t, nlohmann::json>> mPendingVersions;
};

} // namespace standin
