#include "libtrefoilgate/loadgauges.h"

#include <criterion/criterion.h>

#include <cmath>
#include <string>
#include <vector>

using namespace trefoilgate;
using trefoilarch::WorkspaceLoad;

namespace {

/** The value of the sample with this name and label, or -1. */
double
ValueOf(const GateMetrics& aMetrics,
        const std::string& aName,
        const std::string& aLabel)
{
  const std::string text = aMetrics.Text();
  const std::string sample =
    "\ntrefoilarch_gate_" + aName + "{" + aLabel + "} ";
  const size_t position = text.find(sample);
  return position == std::string::npos
           ? -1
           : std::stod(text.substr(position + sample.size()));
}

double
OfWorkspace(const GateMetrics& aMetrics,
            const std::string& aName,
            const std::string& aWorkspace)
{
  return ValueOf(
    aMetrics, "workspace_" + aName, "workspace=\"" + aWorkspace + "\"");
}

size_t
SeriesCount(const GateMetrics& aMetrics, const std::string& aName)
{
  const std::string text = aMetrics.Text();
  size_t count = 0;
  for (size_t position = text.find("\n" + aName + "{");
       position != std::string::npos;
       position = text.find("\n" + aName + "{", position + 1)) {
    ++count;
  }
  return count;
}

WorkspaceLoad
LoadOf(const std::string& aWorkspace, double aDemand)
{
  return {
    .mWorkspace = aWorkspace, .mDemand = aDemand, .mShare = 10, .mShed = 2
  };
}

} // namespace

/** 24 workspaces of two tiers: the smallest ones must not be lost from the
 * sums, and a workspace must not be split by tier. */
Test(loadgauges, the_largest_workspaces_are_named_and_the_rest_is_summed)
{
  GateMetrics metrics;
  LoadGauges gauges(metrics);
  std::vector<WorkspaceLoad> loads;
  for (int each = 1; each <= 24; ++each) {
    loads.push_back(LoadOf("w" + std::to_string(each), each * 100));
    loads.push_back(LoadOf("w" + std::to_string(each), each));
  }
  loads.push_back(LoadOf("nan", std::nan("")));
  gauges.SetWorkspaces(loads);
  cr_expect(OfWorkspace(metrics, "demand", "w24") == 2424);
  cr_expect(OfWorkspace(metrics, "share", "w5") == 20);
  cr_expect(OfWorkspace(metrics, "demand", "w4") == -1);
  cr_expect(OfWorkspace(metrics, "demand", "other") == 101 * (1 + 2 + 3 + 4));
  cr_expect(OfWorkspace(metrics, "shed_total", "other") == 2 * (4 * 2 + 1));
}

/** A workspace or a service that is gone must not keep its last value, and
 * names that come and go must not fill the memory. */
Test(loadgauges, what_is_gone_is_zero_and_series_are_bounded)
{
  GateMetrics metrics;
  LoadGauges gauges(metrics);
  gauges.SetSlowUpstreams({ { "chat", 2 }, { "plan", 1 } });
  cr_expect(ValueOf(metrics, "slow_upstreams", "service=\"chat\"") == 2);
  gauges.SetSlowUpstreams({ { "plan", 1 } });
  cr_expect(ValueOf(metrics, "slow_upstreams", "service=\"chat\"") == 0);
  cr_expect(ValueOf(metrics, "slow_upstreams", "service=\"plan\"") == 1);

  for (int round = 0; round < 1000; ++round) {
    const std::string workspace = "w" + std::to_string(round);
    gauges.SetWorkspaces({ LoadOf(workspace, 5), LoadOf("w", 1) });
    cr_assert(OfWorkspace(metrics, "demand", workspace) == 5);
  }
  cr_expect(OfWorkspace(metrics, "demand", "w") == 1);
  cr_expect(OfWorkspace(metrics, "demand", "w998") == 0);
  cr_expect(SeriesCount(metrics, "trefoilarch_gate_workspace_demand") ==
            LabelledGauge::kMaxZeroed + 2);
  gauges.SetWorkspaces({ LoadOf("w998", 7) });
  cr_expect(OfWorkspace(metrics, "demand", "w998") == 7);
  cr_expect(OfWorkspace(metrics, "demand", "w") == 0);
}
