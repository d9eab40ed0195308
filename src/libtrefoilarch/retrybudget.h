#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** How many retries a RetryBudget allows. */
struct RetryBudgetOptions
{
  /** Retries for each hundred first attempts. */
  double mPercent = 10;
  /** What a class starts with, so that a quiet one can retry at all. */
  double mInitial = 3;
  /** What a class can save up; bounds the retries of one bad moment. */
  double mMax = 20;
};

/**
 * One entry's part of the retries that a fleet may make beside the share of
 * its requests. aEntries, itself included, have the same part each, so that
 * all of them together stay within aSlack however many they are; 0 entries
 * stands for a number that is not known yet.
 */
double
RetriesPerEntry(double aSlack, size_t aEntries);

/**
 * Bounds retries to a share of first attempts, class by class, so that
 * retries cannot multiply the load when many upstreams fail at once.
 */
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /** A request of the class was tried for the first time. */
  void OnFirstAttempt(const std::string& aClass);
  /** Takes one retry from the budget, or refuses it. */
  bool TakeRetry(const std::string& aClass);
  /** Retries that the class may make now. */
  double Remaining(const std::string& aClass) const;
  /** The same of every class that was asked for. */
  const std::unordered_map<std::string, double>& All() const { return mLeft; }
  /** What classes have left is kept, up to the new bound. */
  void SetOptions(RetryBudgetOptions aOptions);

private:
  RetryBudgetOptions mOptions;
  std::unordered_map<std::string, double> mLeft;
};

} // namespace trefoilarch
