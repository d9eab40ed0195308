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
  mPendingVersions.emplace_back(MonotonicMillis(), std::move(aHosts));
}

std::string
HostList::Text()
{
  const std::lock_guard lock(mMutex);
  const int64_t now = MonotonicMillis();
  while (!mPendingVersions.empty() &&
         mPendingVersions.front().first + mLag <= now) {
    mVisible = std::move(mPendingVersions.front().second);
    mPendingVersions.pop_front();
  }
  return mVisible.dump();
}

} // namespace standin
