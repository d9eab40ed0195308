#pragma once

#include "routepolicy.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace trefoilarch {

/**
 * Looks up routes and keys of one RoutePolicy. Immutable. A lookup costs one
 * hash for each slash of the path, whatever the number of routes.
 */
class RouteIndex
{
public:
  explicit RouteIndex(std::shared_ptr<const RoutePolicy> aPolicy);

  /**
   * The route of the host with the longest prefix that begins the path, or
   * null. The host is compared without its port and without regard to case;
   * a query is not part of the path.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /** Whose key it is, or null. */
  const KeyedWorkspace* WorkspaceForKey(const std::string& aKey) const;

  /** Null where the policy does not describe the service. */
  const RoutedService* FindService(const std::string& aName) const;

  const RoutePolicy& Policy() const { return *mPolicy; }
  uint64_t Version() const { return mPolicy->mVersion; }

private:
  std::shared_ptr<const RoutePolicy> mPolicy;
  /** By host, a space and the prefix. */
  std::unordered_map<std::string, const Route*> mRoutes;
  std::unordered_map<std::string, const KeyedWorkspace*> mKeys;
};

} // namespace trefoilarch
