#include "directrouter.h"

#include <algorithm>

/** What upstreams state about further requests. */
namespace trefoilarch {

namespace {

/** The largest random addition to a return time is it divided by this. */
constexpr int64_t kPauseJitterDivisor = 4;

} // namespace

void
DirectRouter::OnAvailabilityStatement(const PlacedAttempt& aAttempt,
                                      const AvailabilityStatement& aStatement,
                                      Millis aNow)
{
  if (aStatement == AvailabilityStatement{}) {
    return;
  }
  const UpstreamId& id = aAttempt.mUpstream;
  const ListedUpstream* listed = mDirectory.Find(id);
  if (listed != nullptr && IsReplaced(aAttempt.mProcess, listed->Process())) {
    return;
  }
  mAvailability.OnStatement(id, aAttempt.mProcess, aStatement, aNow);
  ReportAvailabilityChanges();
  TrackedUpstream* tracked = FindTracked(aAttempt);
  if (aStatement.mLeaving && tracked != nullptr) {
    tracked->mLeaving = true;
    mCrashDetector.OnLeaving(tracked->mIncarnation);
  }
}

bool
DirectRouter::IsInService(const PlacedAttempt& aAttempt) const
{
  const ListedUpstream* listed = mDirectory.Find(aAttempt.mUpstream);
  return listed != nullptr && !IsLeaving(*listed) &&
         listed->mIncarnationNumber == aAttempt.mIncarnationNumber;
}

bool
DirectRouter::TakesWork(const PlacedAttempt& aAttempt, Millis aNow) const
{
  return IsInService(aAttempt) &&
         !mAvailability.IsPaused(aAttempt.mUpstream, aNow);
}

std::optional<Millis>
DirectRouter::PauseEndsIn(const BoundRequest& aRequest, Millis aNow)
{
  Millis shortest = Millis::Never();
  for (const ListedUpstream* each : mDirectory.OfService(aRequest.mService)) {
    const bool eligible =
      !aRequest.mOrigin || MayContinueAt(*aRequest.mOrigin, *each);
    if (eligible && !IsLeaving(*each)) {
      shortest = std::min(shortest, mAvailability.WaitFor(each->mId, aNow));
    }
  }
  if (shortest == Millis(0) || shortest == Millis::Never()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<int64_t> jitter(
    0, (shortest / kPauseJitterDivisor).Count());
  return shortest + Millis(jitter(mRandom));
}

bool
DirectRouter::IsLeaving(const ListedUpstream& aUpstream) const
{
  return aUpstream.mLeaving || mAvailability.IsLeaving(aUpstream.mId);
}

void
DirectRouter::ReportAvailabilityChanges()
{
  for (const AvailabilityChange& change : mAvailability.TakeChanges()) {
    mOptions.mOnAvailabilityChange(change);
  }
}

} // namespace trefoilarch
