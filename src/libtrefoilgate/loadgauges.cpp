#include "loadgauges.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace trefoilgate {

using trefoilarch::WorkspaceLoad;

namespace {

/** The label of the workspaces without series of their own. */
constexpr const char* kOther = "other";

struct Sums
{
  double mDemand = 0;
  double mShare = 0;
  double mShed = 0;

  void Add(const Sums& aOther)
  {
    mDemand += aOther.mDemand;
    mShare += aOther.mShare;
    mShed += aOther.mShed;
  }
};

using NamedSums = std::pair<std::string_view, Sums>;

/** Views into aLoads; values that are not finite count as 0. */
std::vector<NamedSums>
SumsByWorkspace(const std::vector<WorkspaceLoad>& aLoads)
{
  const auto finite = [](double aValue) {
    return std::isfinite(aValue) ? aValue : 0;
  };
  std::unordered_map<std::string_view, Sums> sums;
  for (const WorkspaceLoad& each : aLoads) {
    sums[each.mWorkspace].Add({ .mDemand = finite(each.mDemand),
                                .mShare = finite(each.mShare),
                                .mShed = static_cast<double>(each.mShed) });
  }
  return { sums.begin(), sums.end() };
}

} // namespace

LabelledGauge::LabelledGauge(GateMetrics& aMetrics, Gauge aGauge)
  : mMetrics(aMetrics)
  , mGauge(aGauge)
{
}

void
LabelledGauge::SetAll(const std::map<std::string, double>& aValues)
{
  for (const auto& [label, value] : mValues) {
    if (!aValues.contains(label)) {
      mMetrics.Set(mGauge, label, 0);
      mZeroed.push_back(label);
    }
  }
  std::erase_if(mZeroed, [&](const std::string& aLabel) {
    return aValues.contains(aLabel);
  });
  for (; mZeroed.size() > kMaxZeroed; mZeroed.pop_front()) {
    mMetrics.Remove(mGauge, mZeroed.front());
  }
  for (const auto& [label, value] : aValues) {
    mMetrics.Set(mGauge, label, value);
  }
  mValues = aValues;
}

LoadGauges::LoadGauges(GateMetrics& aMetrics)
  : mSlow(aMetrics, Gauge::SlowUpstreams)
  , mVersions(aMetrics, Gauge::UpstreamVersions)
  , mDemand(aMetrics, Gauge::WorkspaceDemand)
  , mShare(aMetrics, Gauge::WorkspaceShare)
  , mShed(aMetrics, Gauge::WorkspaceShedTotal)
{
}

void
LoadGauges::SetSlowUpstreams(const std::map<std::string, size_t>& aCounts)
{
  std::map<std::string, double> values;
  for (const auto& [service, count] : aCounts) {
    values[service] = static_cast<double>(count);
  }
  mSlow.SetAll(values);
}

void
LoadGauges::SetVersions(const trefoilarch::VersionCounts& aCounts)
{
  std::map<std::string, double> values;
  for (const auto& [service, versions] : aCounts) {
    for (const auto& [version, upstreams] : versions) {
      std::string label = service;
      values[label.append("/").append(version)] = upstreams;
    }
  }
  mVersions.SetAll(values);
}

void
LoadGauges::SetWorkspaces(const std::vector<WorkspaceLoad>& aLoads)
{
  std::vector<NamedSums> workspaces = SumsByWorkspace(aLoads);
  const size_t named = std::min(kMaxWorkspaces, workspaces.size());
  std::ranges::partial_sort(
    workspaces,
    workspaces.begin() + static_cast<std::ptrdiff_t>(named),
    [](const NamedSums& aLeft, const NamedSums& aRight) {
      return aLeft.second.mDemand != aRight.second.mDemand
               ? aLeft.second.mDemand > aRight.second.mDemand
               : aLeft.first < aRight.first;
    });
  std::map<std::string, Sums> sums;
  for (size_t each = 0; each < workspaces.size(); ++each) {
    const auto& [workspace, values] = workspaces[each];
    sums[each < named ? std::string(workspace) : kOther].Add(values);
  }
  const auto valuesOf = [&](double Sums::*aMember) {
    std::map<std::string, double> values;
    for (const auto& [label, each] : sums) {
      values[label] = each.*aMember;
    }
    return values;
  };
  mDemand.SetAll(valuesOf(&Sums::mDemand));
  mShare.SetAll(valuesOf(&Sums::mShare));
  mShed.SetAll(valuesOf(&Sums::mShed));
}

} // namespace trefoilgate
