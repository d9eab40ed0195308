#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace trefoilio {

/**
 * Counters, gauges and latency histograms (Boost.Histogram) of one process,
 * exported in the Prometheus text format. Thread-safe. Names are in snake
 * case; aLabel is a formatted `key="value"` list or empty.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Sets the one-line help text of a metric. */
  void Describe(std::string_view aName, std::string_view aHelp);
  void Count(std::string_view aName,
             std::string_view aLabel = "",
             uint64_t aBy = 1);
  void SetGauge(std::string_view aName,
                double aValue,
                std::string_view aLabel = "");
  /** Removes a series, for labels whose values change without bound. */
  void RemoveGauge(std::string_view aName, std::string_view aLabel);
  /** Adds a value to a histogram, usually in milliseconds. */
  void Observe(std::string_view aName,
               double aValue,
               std::string_view aLabel = "");
  uint64_t CounterValue(std::string_view aName,
                        std::string_view aLabel = "") const;
  /** Returns all metrics in the Prometheus text format. */
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilio
