#include "libtrefoilio/metrics.h"

#include <criterion/criterion.h>

#include <thread>
#include <vector>

using namespace trefoilio;

namespace {

bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

} // namespace

Test(metrics, text_has_the_prometheus_format)
{
  Metrics metrics;
  metrics.Count("requests_total", "class=\"a\"", 2);
  metrics.Count("requests_total", "class=\"a\"");
  metrics.Count("requests_total");
  metrics.SetGauge("open", 1.5);
  metrics.SetGauge("open", 0.25);
  for (const double value : { 0.0, 1.0, 1.5, 5.0, 1e9 }) {
    metrics.Observe("turn_ms", value, "hop=\"x\"");
  }
  const std::string text = metrics.Text();
  cr_assert(HasLine(text, "# TYPE requests_total counter"));
  cr_assert(HasLine(text, "requests_total{class=\"a\"} 3"));
  cr_assert(HasLine(text, "requests_total 1"));
  cr_assert(HasLine(text, "# TYPE open gauge\nopen 0.25"));
  cr_assert(HasLine(text, "# TYPE turn_ms histogram"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"0.1\"} 1"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"1\"} 2"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"2\"} 3"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"5\"} 4"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"300000\"} 4"));
  cr_assert(HasLine(text, "turn_ms_bucket{hop=\"x\",le=\"+Inf\"} 5"));
  cr_assert(HasLine(text, "turn_ms_sum{hop=\"x\"} 1000000007.5"));
  cr_assert(HasLine(text, "turn_ms_count{hop=\"x\"} 5"));
  cr_assert(metrics.CounterValue("requests_total", "class=\"a\"") == 3);
  cr_assert(metrics.CounterValue("requests_total", "class=\"b\"") == 0);
}

Test(metrics, description_precedes_the_type)
{
  Metrics metrics;
  metrics.Describe("open", "Requests without an answer.");
  metrics.SetGauge("open", 2);
  cr_assert(HasLine(metrics.Text(),
                    "# HELP open Requests without an answer.\n"
                    "# TYPE open gauge\n"
                    "open 2"));
}

Test(metrics, no_count_is_lost_between_threads)
{
  Metrics metrics;
  std::vector<std::thread> threads(4);
  for (std::thread& thread : threads) {
    thread = std::thread([&] {
      for (int j = 0; j < 10000; ++j) {
        metrics.Count("steps_total");
        metrics.Observe("span_ms", 1);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  cr_assert(metrics.CounterValue("steps_total") == 40000);
  cr_assert(HasLine(metrics.Text(), "span_ms_count 40000"));
}
