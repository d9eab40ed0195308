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
  while (!mVersions.empty() && mVersions.front().first + mLag <= now) {
    mShown = std::move(mVersions.front().second);
    mVersions.pop_front();
  }
  return mShown.dump();
}

} // namespace standin
