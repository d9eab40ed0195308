#include "retrybudget.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr double kHundred = 100;

/** Maximum retries that one entry saves up: more of them at once would add to
 * the load of upstreams that fail together. */
constexpr double kMaxBalance = 8;

/** Retries of an entry that doesn't know how many share the slack. */
constexpr double kUnknownFleetRetries = 1;

} // namespace

double
RetriesPerEntry(double aSlack, size_t aEntries)
{
  if (aEntries == 0) {
    return std::min(aSlack, kUnknownFleetRetries);
  }
  return std::min(aSlack / static_cast<double>(aEntries), kMaxBalance);
}

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
RetryBudget::OnFirstAttempt(const std::string& aClass)
{
  double& remaining =
    mBalances.try_emplace(aClass, mOptions.mInitial).first->second;
  remaining = std::min(remaining + mOptions.mPercent / kHundred, mOptions.mMax);
}

bool
RetryBudget::TakeRetry(const std::string& aClass)
{
  double& remaining =
    mBalances.try_emplace(aClass, mOptions.mInitial).first->second;
  if (remaining < 1) {
    return false;
  }
  remaining -= 1;
  return true;
}

double
RetryBudget::Remaining(const std::string& aClass) const
{
  const auto it = mBalances.find(aClass);
  return it == mBalances.end() ? mOptions.mInitial : it->second;
}

void
RetryBudget::SetOptions(RetryBudgetOptions aOptions)
{
  mOptions = aOptions;
  for (auto& [name, remaining] : mBalances) {
    remaining = std::min(remaining, mOptions.mMax);
  }
}

} // namespace trefoilarch
