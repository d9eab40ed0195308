#include "directrouter.h"

#include <algorithm>

/** How DirectRouter keeps to the rate limits that upstreams name. */
namespace trefoilarch {

namespace {

/** Where it is not known when there is room. */
constexpr Millis kLeastReturn{ 100 };

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
  mHasPeerUpdate = mHasPeerUpdate || mLimits.HasUpdate();
  for (const LimitChange& change : mLimits.TakeChanges()) {
    mOptions.mOnLimitChange(change);
  }
}

std::optional<PermitReply>
DirectRouter::OnPermitRequest(const std::string& aFrom,
                              const PermitRequest& aAsk,
                              Millis aNow)
{
  mLimits.OnPeerReport(aAsk.mLimit, aNow);
  ReportLimitChanges();
  const auto perSecond = mLimits.Of(aAsk.mLimit.mUpstream);
  if (!perSecond) {
    // The limit has ended, and the other entry will hear of it.
    return PermitReply{ .mNumber = aAsk.mNumber, .mGranted = aAsk.mCount };
  }
  return mIssuer.OnRequest(aFrom, aAsk, *perSecond, aNow);
}

void
DirectRouter::SendPermitRequest(const UpstreamId& aUpstream,
                                uint8_t aUrgency,
                                Millis aNow)
{
  const AddressedPermitRequest ask =
    mPermits.MakeRequest(mLimits.ReportOf(aUpstream, aNow), aUrgency, aNow);
  if (ask.mTo != mPermits.Own()) {
    mOptions.mOnPermitRequest(ask);
    return;
  }
  if (const auto reply = OnPermitRequest(ask.mTo, ask.mRequest, aNow)) {
    mPermits.OnReply(*reply, aNow);
  }
}

bool
DirectRouter::MayHavePermit(const UpstreamId& aUpstream,
                            uint8_t aUrgency,
                            const PermitWait& aWait,
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
        mPermits.NoteMissed(aUpstream);
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
  std::optional<Millis> room;
  for (const ListedUpstream* each : mDirectory.OfService(aRequest.mService)) {
    const bool limited = mLimits.Of(each->mId).has_value();
    if (limited && !each->mLeaving && !aTried.contains(each->mId)) {
      const Millis wait =
        mPermits.WaitFor(each->mId, aRequest.mRoutePriority, aNow);
      room = std::min(room.value_or(wait), wait);
    }
  }
  if (!room) {
    return std::nullopt;
  }
  const Millis least = std::max(*room, kLeastReturn);
  return ReturnIn(aRequest, least, least);
}

} // namespace trefoilarch
