#include "routepolicyvalidation.h"

#include <map>

namespace trefoilarch {

namespace {

/** Bounds of a workspace's weight, as FairShare uses it. */
constexpr double kMinWorkspaceWeight = 0.01;
constexpr double kMaxWorkspaceWeight = 100;

using Faults = std::vector<std::string>;

std::string
Describe(const Route& aRoute)
{
  return "route \"" + aRoute.mName + "\" (" + aRoute.mHost +
         aRoute.mPathPrefix + ")";
}

void
CheckTargets(const RoutePolicy& aPolicy, const Route& aRoute, Faults& aFaults)
{
  uint64_t weights = 0;
  for (const WeightedTarget& target : aRoute.mTargets) {
    weights += target.mWeight;
    if (!aPolicy.mServices.contains(target.mService)) {
      aFaults.push_back(Describe(aRoute) + ": no service \"" + target.mService +
                        "\"");
    }
  }
  if (weights == 0) {
    aFaults.push_back(Describe(aRoute) + ": no target with a weight");
  }
}

void
CheckDurations(const Route& aRoute, Faults& aFaults)
{
  if (aRoute.mTimeout <= Millis(0)) {
    aFaults.push_back(Describe(aRoute) + ": the timeout must be above 0 ms");
  }
  if (aRoute.mFirstTokenTarget > aRoute.mTimeout) {
    aFaults.push_back(Describe(aRoute) +
                      ": the latency target is above the timeout");
  }
}

void
CheckHostAndPath(const Route& aRoute, Faults& aFaults)
{
  const std::string& prefix = aRoute.mPathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    aFaults.push_back(Describe(aRoute) +
                      ": the path must begin and end with a slash");
  }
  if (aRoute.mHost.empty()) {
    aFaults.push_back(Describe(aRoute) + ": no host");
  }
}

void
CheckRoutes(const RoutePolicy& aPolicy, Faults& aFaults)
{
  std::map<std::pair<std::string, std::string>, const Route*> routes;
  for (const Route& route : aPolicy.mRoutes) {
    CheckHostAndPath(route, aFaults);
    CheckTargets(aPolicy, route, aFaults);
    CheckDurations(route, aFaults);
    const auto [existing, inserted] =
      routes.try_emplace({ route.mHost, route.mPathPrefix }, &route);
    if (!inserted) {
      aFaults.push_back(Describe(route) + ": the same requests as route \"" +
                        existing->second->mName + "\"");
    }
  }
}

void
CheckWorkspaces(const RoutePolicy& aPolicy, Faults& aFaults)
{
  std::map<std::string, std::string> owners;
  for (const KeyedWorkspace& workspace : aPolicy.mWorkspaces) {
    const bool validWeight = workspace.mWeight >= kMinWorkspaceWeight &&
                             workspace.mWeight <= kMaxWorkspaceWeight;
    if (!validWeight) {
      aFaults.push_back("workspace \"" + workspace.mName +
                        "\": weight must be 0.01 to 100");
    }
    for (const std::string& key : workspace.mKeys) {
      const auto [existing, inserted] =
        owners.try_emplace(key, workspace.mName);
      if (!inserted) {
        // The key is a secret and stays out of the message.
        aFaults.push_back("workspaces \"" + existing->second + "\" and \"" +
                          workspace.mName + "\" hold the same key");
      }
    }
  }
}

} // namespace

std::vector<std::string>
ValidateRoutePolicy(const RoutePolicy& aPolicy)
{
  Faults faults;
  if (aPolicy.mRoutes.empty()) {
    faults.emplace_back("no routes");
  }
  CheckRoutes(aPolicy, faults);
  CheckWorkspaces(aPolicy, faults);
  return faults;
}

} // namespace trefoilarch
