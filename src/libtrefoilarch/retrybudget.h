#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace trefoilarch {

struct RetryBudgetOptions
{
  /** Retries per hundred first attempts. */
  double mPercent = 10;
  /** Initial balance of a class, so that one with few requests can retry. */
  double mInitial = 3;
  /** Maximum balance of a class; bounds the retries of a short outage. */
  double mMax = 20;
};

/**
 * One entry's part of the retries that a fleet may make in addition to the
 * share of its requests. All aEntries, itself included, have the same part, so
 * that together they stay within aSlack. 0 entries: not known yet.
 */
double
RetriesPerEntry(double aSlack, size_t aEntries);

/**
 * Limits the retries of each class to a share of its first attempts, so that
 * retries can't multiply the load when many upstreams fail at once.
 */
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  void OnFirstAttempt(const std::string& aClass);
  bool TakeRetry(const std::string& aClass);
  double Remaining(const std::string& aClass) const;
  /** Of all classes that had requests. */
  const std::unordered_map<std::string, double>& All() const
  {
    return mBalances;
  }
  /** Classes keep their balance, up to the new maximum. */
  void SetOptions(RetryBudgetOptions aOptions);

private:
  RetryBudgetOptions mOptions;
  std::unordered_map<std::string, double> mBalances;
};

} // namespace trefoilarch
