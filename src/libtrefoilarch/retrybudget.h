#pragma once

#include <string>
#include <unordered_map>

namespace trefoilarch {

/**
 * Bounds retries to a share of first attempts, class by class, so that
 * retries cannot multiply the load when many upstreams fail at once.
 */
class RetryBudget
{
public:
  /** Retries for each hundred first attempts. */
  explicit RetryBudget(double aPercent);

  /** A request of the class was tried for the first time. */
  void OnFirstAttempt(const std::string& aClass);
  /** Takes one retry from the budget, or refuses it. */
  bool TakeRetry(const std::string& aClass);
  /** Retries that the class may make now. */
  double Left(const std::string& aClass) const;

private:
  double mShare;
  std::unordered_map<std::string, double> mLeft;
};

} // namespace trefoilarch
