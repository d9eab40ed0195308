#include "libtrefoilarch/routepolicyvalidation.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

Route
GoodRoute()
{
  return { .mName = "r",
           .mHost = "h.example",
           .mPathPrefix = "/a/",
           .mTimeout = Millis(3000),
           .mFirstTokenTarget = Millis(500),
           .mTargets = { { .mService = "s" } } };
}

RoutePolicy
PolicyWith(std::vector<Route> aRoutes)
{
  RoutePolicy policy{ .mVersion = 1, .mRoutes = std::move(aRoutes) };
  policy.mServices["s"] = { .mName = "s" };
  policy.mWorkspaces = { { .mName = "t", .mKeys = { "a", "b" } },
                         { .mName = "u", .mKeys = { "c" } } };
  return policy;
}

/** Whether there is exactly one fault, and it says that. */
bool
OnlyFault(const RoutePolicy& aPolicy, const std::string& aPart)
{
  const auto faults = ValidateRoutePolicy(aPolicy);
  return faults.size() == 1 && faults[0].find(aPart) != std::string::npos;
}

} // namespace

Test(policyfaults, a_policy_without_faults_has_none)
{
  cr_expect(ValidateRoutePolicy(PolicyWith({ GoodRoute() })).empty());
}

Test(policyfaults, each_fault_is_named_with_its_route)
{
  Route route = GoodRoute();
  route.mTargets = { { .mService = "s" }, { .mService = "x" } };
  cr_expect(
    OnlyFault(PolicyWith({ route }), "\"r\" (h.example/a/): no service \"x\""));
  route = GoodRoute();
  route.mTargets[0].mWeight = 0;
  cr_expect(OnlyFault(PolicyWith({ route }), "no target with a weight"));
  route = GoodRoute();
  route.mTimeout = Millis(0);
  route.mFirstTokenTarget = Millis(0);
  cr_expect(OnlyFault(PolicyWith({ route }), "above 0 ms"));
  route = GoodRoute();
  route.mFirstTokenTarget = Millis(3001);
  cr_expect(OnlyFault(PolicyWith({ route }), "target is above the timeout"));
  route = GoodRoute();
  route.mPathPrefix = "/a";
  cr_expect(OnlyFault(PolicyWith({ route }), "end with a slash"));
  route = GoodRoute();
  route.mHost = "";
  cr_expect(OnlyFault(PolicyWith({ route }), "no host"));
  cr_expect(OnlyFault(PolicyWith({}), "no routes"));
}

Test(policyfaults, two_routes_for_the_same_requests)
{
  Route second = GoodRoute();
  second.mName = "r2";
  cr_expect(OnlyFault(PolicyWith({ GoodRoute(), second }),
                      "the same requests as route \"r\""));
  second.mPathPrefix = "/a/b/";
  cr_expect(ValidateRoutePolicy(PolicyWith({ GoodRoute(), second })).empty());
}

Test(policyfaults, a_key_of_two_workspaces_is_a_fault_and_not_shown)
{
  RoutePolicy policy = PolicyWith({ GoodRoute() });
  policy.mWorkspaces[1].mKeys = { "secret-key" };
  policy.mWorkspaces[0].mKeys = { "secret-key" };
  cr_expect(OnlyFault(policy, "\"t\" and \"u\" hold the same key"));
  cr_expect(ValidateRoutePolicy(policy)[0].find("secret-key") ==
            std::string::npos);
}
