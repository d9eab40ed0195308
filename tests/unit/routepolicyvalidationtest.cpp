#include "libtrefoilarch/routepolicyvalidation.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

Route
ValidRoute()
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

/** Whether there is exactly one fault, and it contains the text. */
bool
HasOnlyFault(const RoutePolicy& aPolicy, const std::string& aText)
{
  const auto faults = ValidateRoutePolicy(aPolicy);
  return faults.size() == 1 && faults[0].find(aText) != std::string::npos;
}

} // namespace

Test(routepolicyvalidation, a_valid_policy_has_no_faults)
{
  cr_expect(ValidateRoutePolicy(PolicyWith({ ValidRoute() })).empty());
}

Test(routepolicyvalidation, each_fault_is_named_with_its_route)
{
  Route route = ValidRoute();
  route.mTargets = { { .mService = "s" }, { .mService = "x" } };
  cr_expect(HasOnlyFault(PolicyWith({ route }),
                         "\"r\" (h.example/a/): no service \"x\""));
  route = ValidRoute();
  route.mTargets[0].mWeight = 0;
  cr_expect(HasOnlyFault(PolicyWith({ route }), "no target with a weight"));
  route = ValidRoute();
  route.mTimeout = Millis(0);
  route.mFirstTokenTarget = Millis(0);
  cr_expect(HasOnlyFault(PolicyWith({ route }), "above 0 ms"));
  route = ValidRoute();
  route.mFirstTokenTarget = Millis(3001);
  cr_expect(HasOnlyFault(PolicyWith({ route }), "target is above the timeout"));
  route = ValidRoute();
  route.mPathPrefix = "/a";
  cr_expect(HasOnlyFault(PolicyWith({ route }), "end with a slash"));
  route = ValidRoute();
  route.mHost = "";
  cr_expect(HasOnlyFault(PolicyWith({ route }), "no host"));
  cr_expect(HasOnlyFault(PolicyWith({}), "no routes"));
}

Test(routepolicyvalidation, two_routes_for_the_same_requests)
{
  Route second = ValidRoute();
  second.mName = "r2";
  cr_expect(HasOnlyFault(PolicyWith({ ValidRoute(), second }),
                         "the same requests as route \"r\""));
  second.mPathPrefix = "/a/b/";
  cr_expect(ValidateRoutePolicy(PolicyWith({ ValidRoute(), second })).empty());
}

Test(routepolicyvalidation, a_shared_key_is_a_fault_and_not_printed)
{
  RoutePolicy policy = PolicyWith({ ValidRoute() });
  policy.mWorkspaces[1].mKeys = { "secret-key" };
  policy.mWorkspaces[0].mKeys = { "secret-key" };
  cr_expect(HasOnlyFault(policy, "\"t\" and \"u\" hold the same key"));
  cr_expect(ValidateRoutePolicy(policy)[0].find("secret-key") ==
            std::string::npos);
}
