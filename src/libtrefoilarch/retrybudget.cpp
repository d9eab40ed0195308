#include "retrybudget.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** What a class starts with, so that a quiet one can retry at all. */
constexpr double kFirstRetries = 3;

/** What a class can save up; bounds the retries of one bad moment. */
constexpr double kMostRetries = 20;

constexpr double kHundred = 100;

} // namespace

RetryBudget::RetryBudget(double aPercent)
  : mShare(aPercent / kHundred)
{
}

void
RetryBudget::OnFirstAttempt(const std::string& aClass)
{
  double& left = mLeft.try_emplace(aClass, kFirstRetries).first->second;
  left = std::min(left + mShare, kMostRetries);
}

bool
RetryBudget::TakeRetry(const std::string& aClass)
{
  double& left = mLeft.try_emplace(aClass, kFirstRetries).first->second;
  if (left < 1) {
    return false;
  }
  left -= 1;
  return true;
}

double
RetryBudget::Left(const std::string& aClass) const
{
  const auto place = mLeft.find(aClass);
  return place == mLeft.end() ? kFirstRetries : place->second;
}

} // namespace trefoilarch
