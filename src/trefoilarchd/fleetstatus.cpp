#include "fleetstatus.h"

#include <nlohmann/json.hpp>

namespace trefoilarch {

namespace {

using nlohmann::json;

std::string
StateOf(const json& aUpstream)
{
  if (aUpstream.value("leaving", false)) {
    return "leaving";
  }
  if (aUpstream.value("channel", "") != "up") {
    return "down";
  }
  if (aUpstream["load"].value("draining", false)) {
    return "draining";
  }
  return aUpstream.value("ejected", false) ? "ejected" : "up";
}

} // namespace

std::string
FleetStatus(const std::string& aRouterDump)
{
  const json dump = json::parse(aRouterDump, nullptr, false);
  if (!dump.is_object() || !dump.contains("upstreams")) {
    return R"({"error":{"kind":"not_ready","ran":"no"}})";
  }
  json upstreams = json::array();
  for (const auto& [name, upstream] : dump["upstreams"].items()) {
    upstreams.push_back({ { "name", name },
                          { "data_centre", upstream["data_centre"] },
                          { "state", StateOf(upstream) },
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
