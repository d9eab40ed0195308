#include "schedule.h"

namespace trefoilarch {

void
Schedule::Add(const WaitingRequest& aRequest)
{
  const Place place{ aRequest.mLevel.mTier, aRequest.mStartBy, aRequest.mKey };
  mRequests.emplace(aRequest.mKey, std::pair(place, aRequest.mTokens));
  mTokens += aRequest.mTokens;
  mOrder.insert(place);
}

void
Schedule::Remove(const AttemptKey& aKey)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end())
    return;
  mOrder.erase(found->second.first);
  mTokens -= found->second.second;
  mRequests.erase(found);
}

std::optional<AttemptKey>
Schedule::Next() const
{
  if (mOrder.empty())
    return std::nullopt;
  return std::get<AttemptKey>(*mOrder.begin());
}

} // namespace trefoilarch
