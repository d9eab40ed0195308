#include "retrybudget.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr double kHundred = 100;

/** Retries that one entry saves up at the most: more of them in one moment
 * would fall on upstreams that fail together. */
constexpr double kMostSaved = 8;

/** What an entry has that does not know how many share the slack. */
constexpr double kAlone = 1;

} // namespace

double
RetriesPerEntry(double aSlack, size_t aEntries)
{
  if (aEntries == 0) {
    return std::min(aSlack, kAlone);
  }
  return std::min(aSlack / static_cast<double>(aEntries), kMostSaved);
}

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
RetryBudget::OnFirstAttempt(const std::string& aClass)
{
  double& left = mLeft.try_emplace(aClass, mOptions.mInitial).first->second;
  left = std::min(left + mOptions.mPercent / kHundred, mOptions.mMax);
}

bool
RetryBudget::TakeRetry(const std::string& aClass)
{
  double& left = mLeft.try_emplace(aClass, mOptions.mInitial).first->second;
  if (left < 1) {
    return false;
  }
  left -= 1;
  return true;
}

double
RetryBudget::Remaining(const std::string& aClass) const
{
  const auto place = mLeft.find(aClass);
  return place == mLeft.end() ? mOptions.mInitial : place->second;
}

void
RetryBudget::SetOptions(RetryBudgetOptions aOptions)
{
  mOptions = aOptions;
  for (auto& [name, left] : mLeft) {
    left = std::min(left, mOptions.mMax);
  }
}

} // namespace trefoilarch
