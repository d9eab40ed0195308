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
Normalised(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  for (char& letter : host) {
    letter = Lower(letter);
  }
  return host;
}

std::string
KeyOf(std::string_view aHost, std::string_view aPrefix)
{
  std::string key = Normalised(aHost);
  key += ' ';
  key += aPrefix;
  return key;
}

} // namespace

RouteIndex::RouteIndex(std::shared_ptr<const RoutePolicy> aPolicy)
  : mPolicy(std::move(aPolicy))
{
  for (const Route& route : mPolicy->mRoutes) {
    mRoutes[KeyOf(route.mHost, route.mPathPrefix)] = &route;
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
  std::string key = KeyOf(aHost, path);
  const size_t start = key.size() - path.size();
  size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= start) {
    key.resize(slash + 1);
    const auto place = mRoutes.find(key);
    if (place != mRoutes.end()) {
      return place->second;
    }
    slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1);
  }
  return nullptr;
}

const KeyedWorkspace*
RouteIndex::WorkspaceForKey(const std::string& aKey) const
{
  const auto place = mKeys.find(aKey);
  return place == mKeys.end() ? nullptr : place->second;
}

const RoutedService*
RouteIndex::FindService(const std::string& aName) const
{
  const auto place = mPolicy->mServices.find(aName);
  return place == mPolicy->mServices.end() ? nullptr : &place->second;
}

} // namespace trefoilarch
