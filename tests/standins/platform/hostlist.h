#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace standin {

/** The platform's list of hosts, which shows each change only after a lag. */
class HostList
{
public:
  void SetLag(int64_t aMillis);
  void Replace(nlohmann::json aHosts);
  /** In the published HTTP service discovery form of Prometheus. */
  std::string Text();

private:
  std::mutex mMutex;
  int64_t mLag = 0;
  nlohmann::json mShown = nlohmann::json::array();
  /** Not yet shown, with the time of each change. */
  std::deque<std::pair<int64_t, nlohmann::json>> mVersions;
};

} // namespace standin
