#include "directrouter.h"

#include <algorithm>

/** Where streams that were interrupted may continue. */
namespace trefoilarch {

namespace {

/** A caller may take its stream up for as long as it may wait, and the last
 * time just before that ends. */
constexpr int64_t kLifetimeFactor = 2;

Millis
LifetimeOf(const Route& aRoute)
{
  return aRoute.mTimeout * kLifetimeFactor;
}

} // namespace

bool
DirectRouter::MayContinueAt(const StreamOrigin& aOrigin,
                            const ListedUpstream& aUpstream) const
{
  if (aUpstream.mService != aOrigin.mService ||
      aUpstream.mVersion != aOrigin.mVersion) {
    return false;
  }
  // Two upstreams that name no version may differ if others name theirs.
  return !aOrigin.mVersion.empty() ||
         !mVersions.NamesVersions(aOrigin.mService);
}

bool
DirectRouter::CanContinue(const BoundRequest& aRequest) const
{
  if (!aRequest.mOrigin) {
    return true;
  }
  const auto& all = mDirectory.OfService(aRequest.mService);
  return std::any_of(
    all.begin(), all.end(), [&](const ListedUpstream* aUpstream) {
      return !IsLeaving(*aUpstream) &&
             MayContinueAt(*aRequest.mOrigin, *aUpstream);
    });
}

void
DirectRouter::OnStreamBegun(BoundRequest& aRequest,
                            const PlacedAttempt& aAttempt,
                            Millis aNow)
{
  if (!aRequest.mOrigin) {
    aRequest.mOrigin = StreamOrigin{ .mService = aAttempt.mService,
                                     .mVersion = aAttempt.mVersion };
  }
  const bool resumable = aRequest.mRoute->mRetryMode == RetryMode::Resumable;
  if (!resumable || aRequest.mStream == kNoStream) {
    return;
  }
  const StreamOriginRecord record{ .mStream = aRequest.mStream,
                                   .mOrigin = *aRequest.mOrigin,
                                   .mLifetime = LifetimeOf(*aRequest.mRoute) };
  mStreams.Put(record, aNow);
  for (std::string& each : mKeepers.KeepersOf(record.mStream)) {
    mOptions.mOnStreamRecord({ .mTo = std::move(each), .mRecord = record });
  }
}

std::optional<StreamOrigin>
DirectRouter::FindStreamOrigin(const BoundRequest& aRequest, Millis aNow) const
{
  if (const auto record = mStreams.Find(aRequest.mStream, aNow)) {
    return record->mOrigin;
  }
  const Route& route = *aRequest.mRoute;
  const auto listedAt = mListFreshness.At();
  // A version that was listed after the list was confirmed is not known here.
  const bool listIsRecent = listedAt && *listedAt >= aRequest.mArrivedAt;
  if (!listIsRecent || route.mTargets.size() != 1) {
    return std::nullopt;
  }
  const std::string& service = route.mTargets.front().mService;
  const auto version = mVersions.OnlyVersionSince(
    service, aRequest.mArrivedAt - LifetimeOf(route));
  if (!version) {
    return std::nullopt;
  }
  return StreamOrigin{ .mService = service, .mVersion = *version };
}

void
DirectRouter::RequestStreamOrigin(const BoundRequest& aRequest)
{
  if (aRequest.mStream == kNoStream) {
    return;
  }
  for (std::string& each : mKeepers.EntriesToAsk(aRequest.mStream)) {
    mOptions.mOnStreamQuery(
      { .mTo = std::move(each), .mStream = aRequest.mStream });
  }
}

void
DirectRouter::RequestListConfirmation(const BoundRequest& aRequest)
{
  mOptions.mOnListConfirmationWanted(aRequest.mArrivedAt);
}

} // namespace trefoilarch
