#include "directrouter.h"

#include <algorithm>

/** Where streams that were interrupted may continue. */
namespace trefoilarch {

namespace {

/** A caller may take its stream up for as long as it may wait, and the last
 * time just before that ends. */
constexpr int64_t kLifetimeFactor = 2;

/** An upstream writes its entry within this time after it has begun to
 * listen. */
constexpr Millis kMaxEntryDelay{ 1000 };

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
  if (aOrigin.mVersion.empty()) {
    // Two upstreams that name no version may differ if others name theirs.
    return !mVersions.NamesVersions(aOrigin.mService);
  }
  // What listens at the address of a process that has ended may be of another
  // version.
  const auto tracked = mTracked.find(aUpstream.mId);
  return tracked == mTracked.end() ||
         !mCrashDetector.HasEnded(tracked->second.mIncarnation);
}

bool
DirectRouter::IsVersionKnown(const BoundRequest& aRequest,
                             const ListedUpstream& aUpstream) const
{
  if (!aRequest.mOrigin || aRequest.mOrigin->mVersion.empty()) {
    return true;
  }
  const auto listedAt = mListFreshness.At();
  if (!listedAt) {
    return false;
  }
  if (*listedAt >= aRequest.mInterruptedAt) {
    return true;
  }
  // A connection that was open when the list was confirmed leads to the process
  // that was listed then, and so do further ones while it is open.
  const auto connected = mOptions.mConnectedSince(aUpstream.mId);
  return connected && *connected + kMaxEntryDelay <= *listedAt;
}

StreamContinuation
DirectRouter::Continuation(const BoundRequest& aRequest) const
{
  if (!aRequest.mOrigin) {
    return StreamContinuation::Possible;
  }
  StreamContinuation result = StreamContinuation::Impossible;
  for (const ListedUpstream* each : mDirectory.OfService(aRequest.mService)) {
    if (IsLeaving(*each) || !MayContinueAt(*aRequest.mOrigin, *each)) {
      continue;
    }
    if (IsVersionKnown(aRequest, *each)) {
      return StreamContinuation::Possible;
    }
    result = StreamContinuation::Unknown;
  }
  return result;
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
  mOptions.mOnListConfirmationWanted(
    std::max(aRequest.mArrivedAt, aRequest.mInterruptedAt));
}

} // namespace trefoilarch
