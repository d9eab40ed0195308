#include "routeindex.h"

namespace trefoilarch {

namespace {

char
Lower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter + 32)
                                          : aLetter;
}

std::string
NormalisedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  for (char& letter : host) {
    letter = Lower(letter);
  }
  return host;
}

std::string
RouteKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key = NormalisedHost(aHost);
  key += ' ';
  key += aPrefix;
  return key;
}

} // namespace

RouteIndex::RouteIndex(std::shared_ptr<const RoutePolicy> aPolicy)
  : mPolicy(std::move(aPolicy))
{
  for (const Route& route : mPolicy->mRoutes) {
    mRoutes[RouteKey(route.mHost, route.mPathPrefix)] = &route;
  }
  for (const KeyedWorkspace& workspace : mPolicy->mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      mKeys[key] = &workspace;
    }
  }
}

const Route*
RouteIndex::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  std::string key = RouteKey(aHost, path);
  const size_t start = key.size() - path.size();
  size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= start) {
    key.resize(slash + 1);
    const auto found = mRoutes.find(key);
    if (found != mRoutes.end()) {
      return found->second;
    }
    slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1);
  }
  return nullptr;
}

const KeyedWorkspace*
RouteIndex::WorkspaceForKey(const std::string& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : found->second;
}

const RoutedService*
RouteIndex::FindService(const std::string& aName) const
{
  const auto found = mPolicy->mServices.find(aName);
  return found == mPolicy->mServices.end() ? nullptr : &found->second;
}

} // namespace trefoilarch
