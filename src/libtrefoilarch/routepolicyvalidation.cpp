#include "routepolicyvalidation.h"

#include <map>

namespace trefoilarch {

namespace {

using Faults = std::vector<std::string>;

std::string
Named(const Route& aRoute)
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
      aFaults.push_back(Named(aRoute) + ": no service \"" + target.mService +
                        "\"");
    }
  }
  if (weights == 0) {
    aFaults.push_back(Named(aRoute) + ": no target with a weight");
  }
}

void
CheckSpans(const Route& aRoute, Faults& aFaults)
{
  if (aRoute.mTimeout <= Millis(0)) {
    aFaults.push_back(Named(aRoute) + ": the timeout must be above 0 ms");
  }
  if (aRoute.mFirstTokenTarget > aRoute.mTimeout) {
    aFaults.push_back(Named(aRoute) +
                      ": the latency target is above the timeout");
  }
}

void
CheckPlace(const Route& aRoute, Faults& aFaults)
{
  const std::string& prefix = aRoute.mPathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    aFaults.push_back(Named(aRoute) +
                      ": the path must begin and end with a slash");
  }
  if (aRoute.mHost.empty()) {
    aFaults.push_back(Named(aRoute) + ": no host");
  }
}

void
CheckRoutes(const RoutePolicy& aPolicy, Faults& aFaults)
{
  std::map<std::pair<std::string, std::string>, const Route*> places;
  for (const Route& route : aPolicy.mRoutes) {
    CheckPlace(route, aFaults);
    CheckTargets(aPolicy, route, aFaults);
    CheckSpans(route, aFaults);
    const auto [place, fresh] =
      places.try_emplace({ route.mHost, route.mPathPrefix }, &route);
    if (!fresh) {
      aFaults.push_back(Named(route) + ": the same requests as route \"" +
                        place->second->mName + "\"");
    }
  }
}

void
CheckWorkspaces(const RoutePolicy& aPolicy, Faults& aFaults)
{
  std::map<std::string, std::string> holders;
  for (const KeyedWorkspace& workspace : aPolicy.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      const auto [place, fresh] = holders.try_emplace(key, workspace.mName);
      if (!fresh) {
        // The key itself is a secret.
        aFaults.push_back("workspaces \"" + place->second + "\" and \"" +
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
