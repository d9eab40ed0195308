#include "preemptionorder.h"

#include <tuple>

namespace trefoilarch {

bool
Preemptible::operator<(const Preemptible& aOther) const
{
  return std::tie(aOther.mTier, aOther.mStartedAt, mKey) <
         std::tie(mTier, mStartedAt, aOther.mKey);
}

void
PreemptionOrder::Add(const Preemptible& aAttempt)
{
  if (mAttempts.emplace(aAttempt.mKey, aAttempt).second) {
    mOrder.insert(aAttempt);
  }
}

void
PreemptionOrder::Remove(const AttemptKey& aKey)
{
  const auto found = mAttempts.find(aKey);
  if (found == mAttempts.end()) {
    return;
  }
  mOrder.erase(found->second);
  mAttempts.erase(found);
}

std::vector<AttemptKey>
PreemptionOrder::Choose(
  Tier aTier,
  const std::function<bool(const AttemptKey&)>& aFits) const
{
  std::vector<AttemptKey> chosen;
  for (const Preemptible& attempt : mOrder) {
    if (attempt.mTier <= aTier) {
      break;
    }
    chosen.push_back(attempt.mKey);
    if (aFits(attempt.mKey)) {
      return chosen;
    }
  }
  return {};
}

} // namespace trefoilarch
