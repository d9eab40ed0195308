#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace trefoilio {

/**
 * Counters, gauges and latency histograms (Boost.Histogram) of one process,
 * written in the Prometheus text format. Thread-safe. Names are snake case;
 * aLabel is one ready-made `key="value"` list or empty.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** A metric's meaning, one line, for whoever reads Text(). */
  void Describe(std::string_view aName, std::string_view aHelp);
  void Count(std::string_view aName,
             std::string_view aLabel = "",
             uint64_t aBy = 1);
  void SetGauge(std::string_view aName,
                double aValue,
                std::string_view aLabel = "");
  /** Adds one measured value, usually in milliseconds. */
  void Observe(std::string_view aName,
               double aValue,
               std::string_view aLabel = "");
  uint64_t CounterValue(std::string_view aName,
                        std::string_view aLabel = "") const;
  /** All of it in the Prometheus text format. */
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilio
