#include "platformfleet.h"

#include "integration/await.h"

#include "libtrefoilarch/retrybudget.h"

#include <criterion/criterion.h>

#include <map>
#include <regex>
#include <set>
#include <sstream>

using namespace platformtest;
using integration::Await;

/** The metrics of a gate in text form. */
namespace {

/** Checks the text against the Prometheus format: each sample follows the type
 * of its metric, and each metric has a type and a help text. */
void
ExpectValidFormat(const std::string& aText)
{
  const std::regex sample(
    R"re(([a-z_0-9]+)(\{([a-z_]+="([^"\\]|\\.)*",?)+\})? (-?[0-9.e+]+|\+Inf|NaN))re");
  std::istringstream lines(aText);
  std::string line;
  std::string name;
  std::set<std::string> described;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::string hash;
    std::string kind;
    if (line.starts_with("# HELP ")) {
      words >> hash >> kind >> name;
      cr_expect(
        described.insert(name).second, "%s is described twice", name.c_str());
      continue;
    }
    if (line.starts_with("# TYPE ")) {
      std::string typed;
      words >> hash >> kind >> typed;
      cr_expect(typed == name, "%s has no help text", typed.c_str());
      continue;
    }
    std::smatch match;
    cr_assert(std::regex_match(line, match, sample), "%s", line.c_str());
    cr_expect(match[1].str().starts_with(name), "%s", line.c_str());
  }
  cr_expect(described.size() >= 15, "%zu metrics", described.size());
}

/** The value of the sample with this name and labels, or -1. */
double
ValueOf(const std::string& aText, const std::string& aSample)
{
  const size_t position = aText.find("\n" + aSample + " ");
  return position == std::string::npos
           ? -1
           : std::stod(aText.substr(position + aSample.size() + 2));
}

} // namespace

Test(metricstext, a_scraper_can_read_every_line)
{
  const PlatformFleet fleet;
  fleet.Call({ .mPlan = "ok,delay=20" });
  fleet.Call({ .mKey = "unknown" });
  ExpectValidFormat(fleet.Metrics());
}

Test(metricstext, requests_count_by_route_priority_and_outcome)
{
  const PlatformFleet fleet;
  fleet.Call({ .mPlan = "ok,delay=20" });
  fleet.Call({ .mMethod = "POST", .mPath = "/once/x", .mPlan = "cut_head" });
  fleet.Call({ .mKey = "unknown" });
  const std::string text = fleet.Metrics();
  cr_expect(ValueOf(text,
                    "trefoilarch_gate_requests_total{route=\"safe\","
                    "priority=\"1\",outcome=\"served\"}") == 1);
  cr_expect(ValueOf(text,
                    "trefoilarch_gate_requests_total{route=\"once\","
                    "priority=\"1\",outcome=\"outcome_unknown\"}") == 1);
  cr_expect(
    ValueOf(text, "trefoilarch_gate_refusals_total{kind=\"bad_token\"}") == 1);
  cr_expect(
    ValueOf(text, "trefoilarch_gate_first_byte_ms_count{route=\"safe\"}") == 1);
}

Test(metricstext, policy_and_list_ages_and_upstream_states_are_reported)
{
  const PlatformFleet fleet({ .mWorkers = 3 });
  fleet.List(2, "draining");
  fleet.Call({});
  cr_expect(Await([&] {
    return ValueOf(fleet.Metrics(),
                   "trefoilarch_gate_upstreams{state=\"draining\"}") == 1;
  }));
  const std::string text = fleet.Metrics();
  cr_expect(ValueOf(text, "trefoilarch_gate_upstreams{state=\"ready\"}") == 2);
  const double left =
    ValueOf(text, "trefoilarch_gate_retries_left{service=\"svc\"}");
  cr_expect(left == trefoilarch::RetriesPerEntry(50, 1), "%f", left);
  const double policyAge = ValueOf(text, "trefoilarch_gate_policy_age_ms");
  const double listAge = ValueOf(text, "trefoilarch_gate_list_age_ms");
  cr_expect(policyAge >= 0 && policyAge < 4000, "%f", policyAge);
  cr_expect(listAge >= 0 && listAge < 12000, "%f", listAge);
  cr_expect(ValueOf(text, "trefoilarch_gate_policy_version") == 1);
}

Test(metricstext, the_lag_of_the_event_loop_is_reported)
{
  const PlatformFleet fleet;
  cr_expect(Await([&] {
    return ValueOf(fleet.Metrics(), "trefoilarch_gate_loop_lag_ms_count") >= 1;
  }));
}

/** Operators find the cause of slow answers and refusals at any gate. */
Test(metricstext, slow_upstreams_and_workspaces_are_at_the_operator_port)
{
  const PlatformFleet fleet;
  const std::string base = "http://" + fleet.OperatorAddress(0);
  cr_expect(
    integration::GetJson(base + "/v1/upstreams/slow").at("slow").is_array());
  cr_expect(
    integration::GetJson(base + "/v1/workspaces").at("workspaces").is_array());
  const auto dump = integration::GetJson(base + "/dump");
  cr_expect(dump.at("slow_upstreams").is_array());
  cr_expect(dump.at("workspaces").is_array());
  cr_expect(ValueOf(fleet.Metrics(), "trefoilarch_gate_unreadable_datagrams") ==
            0);
}

Test(metricstext, the_dump_shows_policy_and_upstreams)
{
  const PlatformFleet fleet;
  const auto dump =
    integration::GetJson("http://" + fleet.OperatorAddress(0) + "/dump");
  cr_expect(dump.at("policy_version") == 1);
  cr_expect(dump.at("upstreams").contains("i-0"));
}
