#include "memorywaiters.h"

#include <algorithm>

namespace trefoilarch {

MemoryWaiters::MemoryWaiters(size_t aMost)
  : mMost(aMost)
{
}

bool
MemoryWaiters::Add(uint64_t aAttempt, const MemoryWaiter& aWaiter)
{
  Remove(aAttempt);
  if (mWaiters.size() >= mMost) {
    return false;
  }
  mWaiters.emplace(aAttempt, aWaiter);
  mByTime.emplace(aWaiter.mUntil, aAttempt);
  mTokens[aWaiter.mService][IndexOf(aWaiter.mTier)] += aWaiter.mTokens;
  return true;
}

void
MemoryWaiters::Remove(uint64_t aAttempt)
{
  const auto found = mWaiters.find(aAttempt);
  if (found == mWaiters.end()) {
    return;
  }
  const MemoryWaiter& waiter = found->second;
  const auto tokens = mTokens.find(waiter.mService);
  tokens->second[IndexOf(waiter.mTier)] -= waiter.mTokens;
  const bool none = std::ranges::all_of(
    tokens->second, [](int64_t aEach) { return aEach == 0; });
  if (none) {
    mTokens.erase(tokens);
  }
  mByTime.erase({ waiter.mUntil, aAttempt });
  mWaiters.erase(found);
}

void
MemoryWaiters::Expire(Millis aNow)
{
  while (!mByTime.empty() && mByTime.begin()->first < aNow) {
    Remove(mByTime.begin()->second);
  }
}

int64_t
MemoryWaiters::TokensAhead(const std::string& aService, uint8_t aTier) const
{
  const auto found = mTokens.find(aService);
  if (found == mTokens.end()) {
    return 0;
  }
  int64_t tokens = 0;
  for (size_t tier = 0; tier < IndexOf(aTier); ++tier) {
    tokens += found->second[tier];
  }
  return tokens;
}

size_t
MemoryWaiters::IndexOf(uint8_t aTier)
{
  return std::min<size_t>(aTier, kTiers - 1);
}

} // namespace trefoilarch
