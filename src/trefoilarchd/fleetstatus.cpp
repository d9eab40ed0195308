#include "fleetstatus.h"

#include "libtrefoilarch/policy.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

namespace {

using nlohmann::json;

bool
DrainedByPolicy(const Policy& aPolicy, const std::string& aName)
{
  const auto found = aPolicy.mUpstreams.find(aName);
  return found != aPolicy.mUpstreams.end() && found->second.mDrained;
}

std::string
StateOf(const json& aUpstream, bool aDrained)
{
  if (aUpstream.value("leaving", false)) {
    return "leaving";
  }
  if (aUpstream.value("channel", "") != "up") {
    return "down";
  }
  if (aDrained || aUpstream["load"].value("draining", false)) {
    return "draining";
  }
  return aUpstream.value("outlier", "") == "ejected" ? "ejected" : "up";
}

} // namespace

std::string
FleetStatus(const std::string& aRouterDump, const Policy& aPolicy)
{
  const json dump = json::parse(aRouterDump, nullptr, false);
  if (!dump.is_object() || !dump.contains("upstreams")) {
    return R"({"error":{"kind":"not_ready","ran":"no"}})";
  }
  json upstreams = json::array();
  for (const auto& [name, upstream] : dump["upstreams"].items()) {
    upstreams.push_back(
      { { "name", name },
        { "data_centre", upstream["data_centre"] },
        { "state", StateOf(upstream, DrainedByPolicy(aPolicy, name)) },
        { "load", upstream["load"] },
        { "labels", upstream["labels"] } });
  }
  return json{
    { "entry", dump["entry"] },
    { "policy_version", dump["policy_version"] },
    { "open_requests", dump["open_requests"] },
    { "upstreams", std::move(upstreams) }
  }.dump();
}

} // namespace trefoilarch
