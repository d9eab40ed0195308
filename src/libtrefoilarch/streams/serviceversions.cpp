#include "serviceversions.h"

#include "libtrefoilarch/upstreamdirectory.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** No stream lasts as long after its version has gone. */
constexpr Millis kRetention{ 600000 };

} // namespace

void
ServiceVersions::OnDirectoryChanged(const UpstreamDirectory& aDirectory,
                                    Millis aNow)
{
  mFollowedSince = aDirectory.FollowedSince();
  mCounts.clear();
  for (const auto& [id, upstream] : aDirectory.All()) {
    mCounts[upstream.mService][upstream.mVersion]++;
    mHistory[upstream.mService][upstream.mVersion];
  }
  for (auto& [service, versions] : mHistory) {
    const auto counts = mCounts.find(service);
    for (auto& [version, presence] : versions) {
      const bool present =
        counts != mCounts.end() && counts->second.contains(version);
      if (presence.mPresent && !present) {
        presence.mGoneAt = aNow;
      }
      presence.mPresent = present;
    }
    std::erase_if(versions, [aNow](const auto& aEntry) {
      const Presence& presence = aEntry.second;
      return !presence.mPresent && aNow - presence.mGoneAt > kRetention;
    });
  }
  std::erase_if(mHistory,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

bool
ServiceVersions::NamesVersions(const std::string& aService) const
{
  const auto versions = mHistory.find(aService);
  return versions != mHistory.end() &&
         std::any_of(versions->second.begin(),
                     versions->second.end(),
                     [](const auto& aEntry) { return !aEntry.first.empty(); });
}

std::optional<std::string>
ServiceVersions::OnlyVersionSince(const std::string& aService,
                                  Millis aSince) const
{
  const auto versions = mHistory.find(aService);
  if (!mFollowedSince || *mFollowedSince > aSince ||
      versions == mHistory.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, presence] : versions->second) {
    if (presence.mPresent || presence.mGoneAt >= aSince) {
      if (only) {
        return std::nullopt;
      }
      only = version;
    }
  }
  return only;
}

} // namespace trefoilarch
