#include "hostlist.h"

#include "common/executionlog.h"

namespace standin {

void
HostList::SetLag(int64_t aMillis)
{
  const std::lock_guard lock(mMutex);
  mLag = aMillis;
}

void
HostList::Replace(nlohmann::json aHosts)
{
  const std::lock_guard lock(mMutex);
  mVersions.emplace_back(MonotonicMillis(), std::move(aHosts));
}

std::string
HostList::Text()
{
  const std::lock_guard lock(mMutex);
  const int64_t now = MonotonicMillis();
  while (mVersions.size() > 1 && mVersions[1].first + mLag <= now) {
    mVersions.pop_front();
  }
  if (mVersions.empty() || mVersions.front().first + mLag > now) {
    return "[]";
  }
  return mVersions.front().second.dump();
}

} // namespace standin
