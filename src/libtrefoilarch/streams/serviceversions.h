#pragma once

#include "libtrefoilarch/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace trefoilarch {

class UpstreamDirectory;

/** Numbers of upstreams by software version, by service. */
using VersionCounts = std::map<std::string, std::map<std::string, uint32_t>>;

/** The software versions of each service's upstreams, now and recently. */
class ServiceVersions
{
public:
  /** To be called after each change of the directory. */
  void OnDirectoryChanged(const UpstreamDirectory& aDirectory, Millis aNow);

  const VersionCounts& Counts() const { return mCounts; }

  /** Whether an upstream of the service names a version, or did recently. */
  bool NamesVersions(const std::string& aService) const;

  /** The only version that the service has had since then; empty if there were
   * several or it is not known, as the list was not followed all the while. */
  std::optional<std::string> OnlyVersionSince(const std::string& aService,
                                              Millis aSince) const;

private:
  struct Presence
  {
    bool mPresent = false;
    Millis mGoneAt;
  };

  VersionCounts mCounts;
  std::map<std::string, std::map<std::string, Presence>> mHistory;
  /** Since when no change of the list can have been missed. */
  std::optional<Millis> mFollowedSince;
};

} // namespace trefoilarch
