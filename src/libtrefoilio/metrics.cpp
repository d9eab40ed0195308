#include "metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <type_traits>

namespace trefoilio {

namespace {

namespace bh = boost::histogram;

/** Bucket bounds in ms, from network round trips to long responses. */
constexpr std::array kBucketBounds{ 0.1,    0.2,   0.5,   1.0,   2.0,
                                    5.0,    10.0,  20.0,  50.0,  100.0,
                                    200.0,  320.0, 500.0, 1000., 2000.0,
                                    5000.0, 10e3,  30e3,  60e3,  300e3 };

/** Larger numbers are written with an exponent. */
constexpr double kMinExponentValue = 1e15;

using Axis = bh::axis::variable<double>;
using Buckets = bh::histogram<std::tuple<Axis>, bh::dense_storage<uint64_t>>;

/** A Boost.Histogram with the sum that Prometheus requires. */
struct HistogramSeries
{
  Buckets mBuckets{ std::make_tuple(
    Axis(kBucketBounds.begin(), kBucketBounds.end())) };
  double mSum = 0;
};

template<typename T>
using ByLabel = std::map<std::string, T, std::less<>>;
template<typename T>
using ByName = std::map<std::string, ByLabel<T>, std::less<>>;

template<typename T>
T&
FindOrInsert(ByName<T>& aAll, std::string_view aName, std::string_view aLabel)
{
  auto named = aAll.find(aName);
  if (named == aAll.end()) {
    named = aAll.emplace(aName, ByLabel<T>()).first;
  }
  auto labelled = named->second.find(aLabel);
  if (labelled == named->second.end()) {
    labelled = named->second.try_emplace(std::string(aLabel)).first;
  }
  return labelled->second;
}

std::string
FormatNumber(double aValue)
{
  if (!std::isfinite(aValue)) {
    return std::isnan(aValue) ? "NaN" : (aValue > 0 ? "+Inf" : "-Inf");
  }
  std::array<char, 32> text{};
  char* const last = text.data() + text.size();
  const bool useExponent = std::abs(aValue) >= kMinExponentValue;
  const auto form =
    useExponent ? std::chars_format::general : std::chars_format::fixed;
  const auto end = std::to_chars(text.data(), last, aValue, form).ptr;
  return { text.data(), end };
}

std::string
BracedLabels(std::string_view aLabel, std::string_view aExtraLabel = "")
{
  if (aLabel.empty() && aExtraLabel.empty()) {
    return "";
  }
  std::string text = "{";
  text.append(aLabel);
  text.append(aLabel.empty() || aExtraLabel.empty() ? "" : ",");
  return text.append(aExtraLabel).append("}");
}

using Descriptions = std::map<std::string, std::string, std::less<>>;

void
AppendType(std::string& aText,
           const Descriptions& aHelp,
           std::string_view aName,
           std::string_view aType)
{
  const auto help = aHelp.find(aName);
  if (help != aHelp.end()) {
    aText.append("# HELP ").append(aName).append(" ");
    aText.append(help->second).append("\n");
  }
  aText.append("# TYPE ").append(aName).append(" ");
  aText.append(aType).append("\n");
}

template<typename T>
void
AppendScalars(std::string& aText,
              const Descriptions& aHelp,
              const ByName<T>& aAll,
              std::string_view aType)
{
  for (const auto& [name, labels] : aAll) {
    AppendType(aText, aHelp, name, aType);
    for (const auto& [label, value] : labels) {
      aText.append(name).append(BracedLabels(label)).append(" ");
      if constexpr (std::is_integral_v<T>) {
        aText.append(std::to_string(value)).append("\n");
      } else {
        aText.append(FormatNumber(value)).append("\n");
      }
    }
  }
}

void
AppendHistogram(std::string& aText,
                const std::string& aName,
                const std::string& aLabel,
                const HistogramSeries& aSeries)
{
  uint64_t total = 0;
  const auto line = [&](const std::string& aBound) {
    aText.append(aName).append("_bucket");
    aText.append(BracedLabels(aLabel, "le=\"" + aBound + "\""));
    aText.append(" ").append(std::to_string(total)).append("\n");
  };
  int bucket = -1;
  for (const double bound : kBucketBounds) {
    total += aSeries.mBuckets.at(bucket++);
    line(FormatNumber(bound));
  }
  total += aSeries.mBuckets.at(bucket);
  line("+Inf");
  aText.append(aName).append("_sum").append(BracedLabels(aLabel)).append(" ");
  aText.append(FormatNumber(aSeries.mSum)).append("\n");
  aText.append(aName).append("_count").append(BracedLabels(aLabel)).append(" ");
  aText.append(std::to_string(total)).append("\n");
}

} // namespace

class Metrics::Impl
{
public:
  mutable std::mutex mMutex;
  Descriptions mHelp;
  ByName<uint64_t> mCounters;
  ByName<double> mGauges;
  ByName<HistogramSeries> mSeries;
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Describe(std::string_view aName, std::string_view aHelp)
{
  std::lock_guard lock(mImpl->mMutex);
  mImpl->mHelp.insert_or_assign(std::string(aName), std::string(aHelp));
}

void
Metrics::Count(std::string_view aName, std::string_view aLabel, uint64_t aBy)
{
  std::lock_guard lock(mImpl->mMutex);
  FindOrInsert(mImpl->mCounters, aName, aLabel) += aBy;
}

void
Metrics::SetGauge(std::string_view aName,
                  double aValue,
                  std::string_view aLabel)
{
  std::lock_guard lock(mImpl->mMutex);
  FindOrInsert(mImpl->mGauges, aName, aLabel) = aValue;
}

void
Metrics::RemoveGauge(std::string_view aName, std::string_view aLabel)
{
  std::lock_guard lock(mImpl->mMutex);
  const auto named = mImpl->mGauges.find(aName);
  if (named == mImpl->mGauges.end()) {
    return;
  }
  const auto labelled = named->second.find(aLabel);
  if (labelled != named->second.end()) {
    named->second.erase(labelled);
  }
}

void
Metrics::Observe(std::string_view aName, double aValue, std::string_view aLabel)
{
  constexpr double lowest = -std::numeric_limits<double>::infinity();
  std::lock_guard lock(mImpl->mMutex);
  HistogramSeries& series = FindOrInsert(mImpl->mSeries, aName, aLabel);
  series.mBuckets(std::nextafter(aValue, lowest));
  series.mSum += aValue;
}

uint64_t
Metrics::CounterValue(std::string_view aName, std::string_view aLabel) const
{
  std::lock_guard lock(mImpl->mMutex);
  const auto named = mImpl->mCounters.find(aName);
  if (named == mImpl->mCounters.end()) {
    return 0;
  }
  const auto labelled = named->second.find(aLabel);
  return labelled == named->second.end() ? 0 : labelled->second;
}

std::string
Metrics::Text() const
{
  std::lock_guard lock(mImpl->mMutex);
  std::string text;
  const Descriptions& help = mImpl->mHelp;
  AppendScalars(text, help, mImpl->mCounters, "counter");
  AppendScalars(text, help, mImpl->mGauges, "gauge");
  for (const auto& [name, labels] : mImpl->mSeries) {
    AppendType(text, help, name, "histogram");
    for (const auto& [label, series] : labels) {
      AppendHistogram(text, name, label, series);
    }
  }
  return text;
}

} // namespace trefoilio
