#include "fleetstatus.h"

#include "libtrefoilarch/policy.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace trefoilarch;
using nlohmann::json;

namespace {

json
Upstream(const char* aChannel, bool aLeaving, bool aDraining)
{
  return { { "data_centre", "riga-1" },
           { "labels", json::object() },
           { "channel", aChannel },
           { "leaving", aLeaving },
           { "load", { { "draining", aDraining } } } };
}

} // namespace

Test(fleetstatus, reports_each_state_and_draining_by_sidecar_or_policy)
{
  json dump = { { "entry", "e" },
                { "policy_version", 3 },
                { "open_requests", 0 },
                { "upstreams",
                  { { "a", Upstream("up", false, false) },
                    { "b", Upstream("down", false, false) },
                    { "c", Upstream("up", false, true) },
                    { "d", Upstream("up", true, false) },
                    { "e", Upstream("up", false, false) },
                    { "f", Upstream("up", false, false) } } } };
  dump["upstreams"]["f"]["outlier"] = "ejected";
  Policy policy;
  policy.mUpstreams["e"] = { .mName = "e", .mDrained = true };
  std::string states;
  const json status = json::parse(FleetStatus(dump.dump(), policy));
  for (const json& upstream : status["upstreams"]) {
    states += upstream["state"].get<std::string>() + " ";
  }
  cr_assert(states == "up down draining leaving draining ejected ",
            "%s",
            states.c_str());
}
