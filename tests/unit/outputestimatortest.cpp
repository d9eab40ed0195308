#include "libtrefoilarch/outputestimator.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace trefoilarch;

Test(outputestimator, workspaces_and_classes_are_estimated_separately)
{
  OutputEstimator estimator;
  cr_assert_eq(estimator.Estimate("agents", "rail", 0), 256);
  for (int i = 0; i < 400; i++) {
    estimator.Add("agents", "rail", 2000);
    estimator.Add("agents", "bus", 100);
    estimator.Add("prices", "yard", 20);
  }
  const double rail = estimator.Estimate("agents", "rail", 0);
  const double bus = estimator.Estimate("agents", "bus", 0);
  cr_assert(rail > 1600 && rail < 2400);
  cr_assert(bus > 80 && bus < 150);
  const double other = estimator.Estimate("agents", "ferry", 0);
  cr_assert(other > 800 && other < 1300, "uses the class's lengths");
  cr_assert(estimator.Estimate("prices", "yard", 0) < 30);
  cr_assert_leq(estimator.Estimate("agents", "rail", 50), 50);
}

Test(outputestimator, old_lengths_fade)
{
  OutputEstimator estimator;
  for (int i = 0; i < 2000; i++) {
    estimator.Add("agents", "rail", 4000);
  }
  for (int i = 0; i < 2000; i++) {
    estimator.Add("agents", "rail", 100);
  }
  cr_assert_leq(estimator.Estimate("agents", "rail", 0), 500);
}

Test(outputestimator, the_estimate_of_heavy_tailed_lengths_is_their_mean)
{
  const bool holds = rc::check(
    "the estimate of heavy-tailed lengths is their mean", [](uint32_t aSeed) {
      std::mt19937_64 random(aSeed);
      std::lognormal_distribution<double> lengths(5.5, 1.0);
      OutputEstimator estimator;
      double sum = 0;
      constexpr int kAnswers = 500;
      for (int i = 0; i < kAnswers; i++) {
        const auto tokens =
          static_cast<uint32_t>(std::clamp(lengths(random), 1.0, 60000.0));
        sum += tokens;
        estimator.Add("agents", "rail", tokens);
      }
      const double mean = sum / kAnswers;
      const double estimate = estimator.Estimate("agents", "rail", 0);
      RC_ASSERT(std::abs(estimate - mean) < 0.2 * mean);
    });
  cr_assert(holds);
}
