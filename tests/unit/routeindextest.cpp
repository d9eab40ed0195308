#include "libtrefoilarch/routeindex.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  return Route{ .mName = aName,
                .mHost = "A.example",
                .mPathPrefix = aPrefix,
                .mTargets = { { .mService = "svc" } } };
}

RouteIndex
MakeIndex()
{
  RoutePolicy policy{ .mVersion = 3 };
  policy.mRoutes = { MakeRoute("all", "/"),
                     MakeRoute("one", "/a/"),
                     MakeRoute("two", "/a/b/") };
  policy.mWorkspaces = { { .mName = "desk", .mKeys = { "k1", "k2" } } };
  return RouteIndex(std::make_shared<const RoutePolicy>(std::move(policy)));
}

std::string
FoundRoute(const RouteIndex& aIndex, const char* aHost, const char* aPath)
{
  const Route* route = aIndex.Find(aHost, aPath);
  return route == nullptr ? "" : route->mName;
}

} // namespace

Test(routeindex, the_longest_prefix_wins)
{
  const RouteIndex index = MakeIndex();
  cr_expect(FoundRoute(index, "a.example", "/a/b/c") == "two");
  cr_expect(FoundRoute(index, "a.example", "/a/b/") == "two");
  cr_expect(FoundRoute(index, "a.example", "/a/b") == "one");
  cr_expect(FoundRoute(index, "a.example", "/ab/") == "all");
  cr_expect(FoundRoute(index, "a.example", "/") == "all");
}

Test(routeindex, host_case_and_port_are_ignored)
{
  const RouteIndex index = MakeIndex();
  cr_expect(FoundRoute(index, "A.EXAMPLE:8080", "/a/x") == "one");
  cr_expect(FoundRoute(index, "b.example", "/a/x").empty());
}

Test(routeindex, the_query_is_ignored)
{
  const RouteIndex index = MakeIndex();
  cr_expect(FoundRoute(index, "a.example", "/a?x=/b/c/") == "all");
  cr_expect(FoundRoute(index, "a.example", "no-slash").empty());
}

Test(routeindex, keys_are_found_exactly)
{
  const RouteIndex index = MakeIndex();
  cr_expect(index.WorkspaceForKey("k1")->mName == "desk");
  cr_expect(index.WorkspaceForKey("K1") == nullptr);
  cr_expect(index.WorkspaceForKey("") == nullptr);
}
