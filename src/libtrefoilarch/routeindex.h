#pragma once

#include "routepolicy.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace trefoilarch {

/**
 * Looks up the routes and keys of one RoutePolicy. Immutable. A route lookup
 * costs one hash per slash in the path, regardless of the number of routes.
 */
class RouteIndex
{
public:
  explicit RouteIndex(std::shared_ptr<const RoutePolicy> aPolicy);

  /**
   * The host's route with the longest matching path prefix, or null. The
   * host's port and case and the path's query are ignored.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /** The workspace that owns the key, or null. */
  const KeyedWorkspace* WorkspaceForKey(const std::string& aKey) const;

  /** Null if the policy does not contain the service. */
  const RoutedService* FindService(const std::string& aName) const;

  const RoutePolicy& Policy() const { return *mPolicy; }
  uint64_t Version() const { return mPolicy->mVersion; }

private:
  std::shared_ptr<const RoutePolicy> mPolicy;
  /** By host, a space and the path prefix. */
  std::unordered_map<std::string, const Route*> mRoutes;
  std::unordered_map<std::string, const KeyedWorkspace*> mKeys;
};

} // namespace trefoilarch
