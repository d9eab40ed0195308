#include "loadgauges.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

namespace trefoilgate {

namespace {

using nlohmann::json;

/** The label of the workspaces without series of their own. */
constexpr const char* kOther = "other";

using Values = std::map<std::string, double>;

/** The workspaces with the largest demands. */
std::set<std::string>
LargestOf(const Values& aDemands, size_t aMost)
{
  std::vector<std::pair<double, std::string>> ordered;
  ordered.reserve(aDemands.size());
  for (const auto& [workspace, demand] : aDemands) {
    ordered.emplace_back(-demand, workspace);
  }
  std::ranges::sort(ordered);
  std::set<std::string> largest;
  for (const auto& [demand, workspace] : ordered) {
    if (largest.size() < aMost) {
      largest.insert(workspace);
    }
  }
  return largest;
}

/** The sums of the member's finite values by workspace; "other" for those not
 * in aNamed. */
Values
SumsOf(const json& aReports,
       const char* aMember,
       const std::set<std::string>& aNamed)
{
  Values sums;
  for (const json& each : aReports) {
    const std::string workspace = each.value("workspace", "");
    const double value = each.value(aMember, 0.0);
    if (std::isfinite(value)) {
      sums[aNamed.contains(workspace) ? workspace : kOther] += value;
    }
  }
  return sums;
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
  , mDemand(aMetrics, Gauge::WorkspaceDemand)
  , mShare(aMetrics, Gauge::WorkspaceShare)
  , mShed(aMetrics, Gauge::WorkspaceShedTotal)
{
}

void
LoadGauges::SetSlowUpstreams(const json& aSlow)
{
  Values byService;
  for (const json& each : aSlow.at("slow")) {
    byService[each.value("service", "")] += 1;
  }
  mSlow.SetAll(byService);
}

void
LoadGauges::SetWorkspaces(const json& aWorkspaces)
{
  const json& reports = aWorkspaces.at("workspaces");
  std::set<std::string> named;
  for (const json& each : reports) {
    named.insert(each.value("workspace", ""));
  }
  named = LargestOf(SumsOf(reports, "demand", named), kMaxWorkspaces);
  mDemand.SetAll(SumsOf(reports, "demand", named));
  mShare.SetAll(SumsOf(reports, "share", named));
  mShed.SetAll(SumsOf(reports, "shed", named));
}

} // namespace trefoilgate
