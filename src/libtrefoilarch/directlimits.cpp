#include "directrouter.h"

#include <algorithm>

/** Enforcement of the rate limits that upstreams announce. */
namespace trefoilarch {

namespace {

/** Used if the time of the next free capacity is unknown. */
constexpr Millis kMinReturnDelay{ 100 };

} // namespace

void
DirectRouter::OnRateLimit(const PlacedAttempt& aAttempt,
                          const std::optional<NamedLimit>& aLimit,
                          Millis aNow)
{
  if (FindTracked(aAttempt) == nullptr) {
    return;
  }
  mLimits.OnAnswer(aAttempt.mUpstream, aLimit, aAttempt.mSentAt, aNow);
  ReportLimitChanges();
}

void
DirectRouter::ReportLimitChanges()
{
  if (mLimits.HasUpdate()) {
    mPeerUpdates.MarkChanged();
  }
  for (const LimitChange& change : mLimits.TakeChanges()) {
    mOptions.mOnLimitChange(change);
  }
}

std::optional<PermitReply>
DirectRouter::OnPermitRequest(const std::string& aFrom,
                              const PermitRequest& aRequest,
                              Millis aNow)
{
  mLimits.OnPeerReport(aRequest.mLimit, aNow);
  ReportLimitChanges();
  const auto perSecond = mLimits.Of(aRequest.mLimit.mUpstream);
  if (!perSecond) {
    // The limit has ended, and the other entry will receive a report of that.
    return PermitReply{ .mNumber = aRequest.mNumber,
                        .mGranted = aRequest.mCount };
  }
  return mIssuer.OnRequest(aFrom, aRequest, *perSecond, aNow);
}

void
DirectRouter::SendPermitRequest(const UpstreamId& aUpstream,
                                uint8_t aUrgency,
                                Millis aNow)
{
  const AddressedPermitRequest request =
    mPermits.MakeRequest(mLimits.ReportOf(aUpstream, aNow), aUrgency, aNow);
  if (request.mTo != mPermits.Own()) {
    mOptions.mOnPermitRequest(request);
    return;
  }
  if (const auto reply = OnPermitRequest(request.mTo, request.mRequest, aNow)) {
    mPermits.OnReply(*reply, aNow);
  }
}

bool
DirectRouter::MayHavePermit(const UpstreamId& aUpstream,
                            uint8_t aUrgency,
                            const PlacementWait& aWait,
                            Millis aNow)
{
  if (!mLimits.Of(aUpstream)) {
    return true;
  }
  switch (mPermits.StateOf(aUpstream, aUrgency, aNow)) {
    case PermitState::NotRequested:
      return aWait.mMayRequest;
    case PermitState::Requested:
      if (aWait.mUpstream != aUpstream && aWait.mMayRequest) {
        mPermits.CountMissed(aUpstream);
      }
      return aWait.mUpstream == aUpstream;
    case PermitState::Granted:
      return true;
    case PermitState::Denied:
      return false;
  }
  return false;
}

bool
DirectRouter::TakePermit(const UpstreamId& aUpstream,
                         uint8_t aUrgency,
                         Millis aNow)
{
  if (!mLimits.Of(aUpstream)) {
    return true;
  }
  if (mPermits.StateOf(aUpstream, aUrgency, aNow) ==
      PermitState::NotRequested) {
    SendPermitRequest(aUpstream, aUrgency, aNow);
  }
  if (mPermits.StateOf(aUpstream, aUrgency, aNow) != PermitState::Granted) {
    return false;
  }
  mPermits.Use(aUpstream);
  return true;
}

std::optional<Millis>
DirectRouter::CapacityIn(const BoundRequest& aRequest,
                         const std::set<UpstreamId>& aTried,
                         Millis aNow)
{
  std::optional<Millis> capacityIn;
  for (const ListedUpstream* each : mDirectory.OfService(aRequest.mService)) {
    const bool limited = mLimits.Of(each->mId).has_value();
    const bool eligible =
      !aRequest.mOrigin || MayContinueAt(*aRequest.mOrigin, *each);
    if (limited && eligible && !IsLeaving(*each) &&
        !aTried.contains(each->mId)) {
      const Millis wait =
        std::max(mPermits.WaitFor(each->mId, aRequest.mRoutePriority, aNow),
                 mAvailability.WaitFor(each->mId, aNow));
      capacityIn = std::min(capacityIn.value_or(wait), wait);
    }
  }
  if (!capacityIn) {
    return std::nullopt;
  }
  const Millis minDelay = std::max(*capacityIn, kMinReturnDelay);
  return RetryDelay(aRequest, minDelay, minDelay);
}

} // namespace trefoilarch
