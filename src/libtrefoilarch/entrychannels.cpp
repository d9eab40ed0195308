#include "entryimpl.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How long a withdrawn or whole attempt is kept for a lost channel. */
constexpr Millis kForgetSpan{ 10000 };

/**
 * How long a started attempt waits for a lost channel before it is run
 * elsewhere, where that is safe.
 */
constexpr Millis kRerunSpan{ 1000 };

/** The same where it is not; sidecars cancel orphans after as long. */
constexpr Millis kResumeSpan{ 5000 };

} // namespace

void
EntryCore::Impl::OnChannelUp(const UpstreamId& aUpstream, Millis aNow)
{
  UpstreamLink* link = LinkOf(aUpstream);
  if (!link) {
    return;
  }
  if (link->mHealth.State() != ChannelState::Down) {
    LoseChannel(*link, aNow);
  }
  link->mHealth.OnUp(aNow);
  Send(*link,
       Hello{ mOptions.mEntry, mOptions.mDataCentre, PolicyVersion() },
       aNow);
}

void
EntryCore::Impl::OnChannelDown(const UpstreamId& aUpstream, Millis aNow)
{
  UpstreamLink* link = LinkOf(aUpstream);
  if (link && link->mHealth.State() != ChannelState::Down) {
    LoseChannel(*link, aNow);
  }
}

void
EntryCore::Impl::SetUpstreams(std::vector<UpstreamView> aUpstreams,
                              const std::vector<UpstreamId>& aLeaving,
                              Millis aNow)
{
  for (auto& [name, link] : mLinks) {
    link.mListed = false;
  }
  for (UpstreamView& view : aUpstreams) {
    const ChannelTimeouts spans{ .mSilence = mOptions.mSilenceTimeout,
                                 .mHeartbeat = mOptions.mHeartbeat,
                                 .mIdleHeartbeat = mOptions.mIdleHeartbeat };
    const auto [place, isNew] = mLinks.try_emplace(view.mName, spans);
    UpstreamLink& link = place->second;
    if (isNew) {
      link.mListedSince = aNow;
    }
    link.mListed = true;
    link.mLeaving =
      std::find(aLeaving.begin(), aLeaving.end(), view.mName) != aLeaving.end();
    if (!link.mWelcomed) {
      link.mView = std::move(view);
    }
  }
  for (auto& [name, link] : mLinks) {
    if (!link.AcceptsWork()) {
      MoveOffersAway(link, aNow);
    }
  }
  EraseUnlisted();
  PlaceParked(aNow);
}

void
EntryCore::Impl::EraseUnlisted()
{
  for (auto place = mLinks.begin(); place != mLinks.end();) {
    const auto& [name, link] = *place;
    if (link.mListed || !link.mOpen.empty()) {
      ++place;
      continue;
    }
    mEligible.Forget();
    mOutliers.Remove(name);
    mLinkTimers.Disarm(name);
    place = mLinks.erase(place);
  }
}

void
EntryCore::Impl::On(UpstreamLink& aLink, Welcome aMessage, Millis aNow)
{
  const bool forgotten =
    aLink.mWelcomed && aLink.mIncarnation != aMessage.mIncarnation;
  aLink.mHealth.OnWelcome(aNow);
  aLink.mIncarnation = aMessage.mIncarnation;
  aLink.SetLoad(aMessage.mLoad);
  LearnLabels(aLink, std::move(aMessage));
  if (forgotten) {
    mOutliers.Reset(aLink.mView.mName);
    aLink.mWithdrawn.clear();
    aLink.mWhole.clear();
  }
  Recover(aLink, aNow);
  PlaceParked(aNow);
}

void
EntryCore::Impl::LearnLabels(UpstreamLink& aLink, Welcome aMessage)
{
  const bool same = aLink.mWelcomed &&
                    aLink.mView.mLabels == aMessage.mLabels &&
                    aLink.mView.mDataCentre == aMessage.mDataCentre;
  if (same) {
    return;
  }
  aLink.mWelcomed = true;
  aLink.mView.mDataCentre = std::move(aMessage.mDataCentre);
  aLink.mView.mLabels = std::move(aMessage.mLabels);
  mEligible.Forget();
  const Labels& labels = aLink.mView.mLabels;
  const auto model = labels.find("model");
  const auto service = labels.find("service");
  mOutliers.Add(aLink.mView.mName,
                model != labels.end()     ? "model=" + model->second
                : service != labels.end() ? "service=" + service->second
                                          : "");
}

void
EntryCore::Impl::On(UpstreamLink& aLink,
                    const SidecarHeartbeat& aMessage,
                    Millis aNow)
{
  aLink.SetLoad(aMessage.mLoad);
  if (!aLink.AcceptsWork()) {
    MoveOffersAway(aLink, aNow);
  }
}

void
EntryCore::Impl::Recover(UpstreamLink& aLink, Millis aNow)
{
  for (const AttemptKey& key : aLink.mWithdrawn) {
    Send(aLink, VoidOrReport{ key }, aNow);
  }
  for (const auto& [key, chunks] : aLink.mWhole) {
    Send(aLink, Ack{ key, chunks }, aNow);
  }
  const std::vector<AttemptKey> open(aLink.mOpen.begin(), aLink.mOpen.end());
  for (const AttemptKey& key : open) {
    RecoverAttempt(aLink, key, aNow);
  }
}

void
EntryCore::Impl::RecoverAttempt(UpstreamLink& aLink,
                                const AttemptKey& aKey,
                                Millis aNow)
{
  OpenRequest* request = RequestOf(aKey);
  if (!request) {
    return;
  }
  if (request->mStarted && request->mStarted->mKey == aKey) {
    if (request->mStarted->mIncarnation != aLink.mIncarnation) {
      LoseStarted(*request, aNow);
      return;
    }
    request->mRetryAt = Millis::Never();
    Watch(*request);
    request->mResumeSent = request->mNextChunk > 0;
    if (request->mResumeSent) {
      Send(aLink, Resume{ aKey, request->mNextChunk }, aNow);
    } else {
      Send(aLink, VoidOrReport{ aKey }, aNow);
    }
    return;
  }
  for (EntryAttempt& offer : request->mOffers) {
    if (offer.mKey == aKey) {
      offer.mIncarnation = aLink.mIncarnation;
      offer.mOfferedAt = aNow;
      aLink.Count(1, offer.mTokens);
      Send(aLink, OfferFor(*request, aKey, aNow), aNow);
    }
  }
}

void
EntryCore::Impl::LoseChannel(UpstreamLink& aLink, Millis aNow)
{
  aLink.mHealth.OnDown(aNow);
  const std::vector<AttemptKey> open(aLink.mOpen.begin(), aLink.mOpen.end());
  for (const AttemptKey& key : open) {
    OpenRequest* request = RequestOf(key);
    if (!request) {
      continue;
    }
    if (request->mStarted && request->mStarted->mKey == key) {
      const bool safe =
        request->mRequest.mClassified.mIdempotent && !request->mHeadSent;
      request->mRetryAt = aNow + (safe ? kRerunSpan : kResumeSpan);
      Watch(*request);
    } else if (!HasReadyOffer(*request)) {
      PlaceOrConclude(*request, aNow);
    }
  }
}

void
EntryCore::Impl::MoveOffersAway(UpstreamLink& aLink, Millis aNow)
{
  const std::vector<AttemptKey> open(aLink.mOpen.begin(), aLink.mOpen.end());
  for (const AttemptKey& key : open) {
    OpenRequest* request = RequestOf(key);
    const auto offer = request ? TakeOffer(aLink, *request, key) : std::nullopt;
    if (!offer) {
      continue;
    }
    Release(aLink, *offer);
    Withdraw(aLink, key, aNow);
    if (!HasReadyOffer(*request)) {
      PlaceOrConclude(*request, aNow);
    }
  }
}

void
EntryCore::Impl::PlaceParked(Millis aNow)
{
  const std::vector<RequestId> parked(mParked.begin(), mParked.end());
  for (const RequestId& id : parked) {
    const auto place = mRequests.find(id);
    if (place != mRequests.end()) {
      PlaceOrConclude(place->second, aNow);
    }
  }
}

void
EntryCore::Impl::OnLinkDue(UpstreamLink& aLink, Millis aNow)
{
  aLink.mWakeAt = Millis::Never();
  while (!aLink.mForget.empty() && aLink.mForget.front().first <= aNow) {
    const AttemptKey key = aLink.mForget.front().second;
    aLink.mForget.pop_front();
    aLink.mWithdrawn.erase(key);
    aLink.mWhole.erase(key);
  }
  aLink.mHealth.SetStake(aLink.AtStake(), aNow);
  if (aLink.mHealth.Silent(aNow)) {
    mCounters.mReopened++;
    mActions.emplace_back(ReopenChannel{ aLink.mView.mName });
    LoseChannel(aLink, aNow);
    Watch(aLink, aNow);
    return;
  }
  if (aLink.mHealth.HeartbeatDue(aNow)) {
    Send(aLink, EntryHeartbeat{ PolicyVersion() }, aNow);
  }
  if (aLink.mHealth.ProbeDue(aNow)) {
    aLink.mHealth.OnProbeSent(aNow);
    Send(aLink, VoidOrReport{ kProbe }, aNow);
  }
  Watch(aLink, aNow);
}

void
EntryCore::Impl::Send(UpstreamLink& aLink, EntryMessage aMessage, Millis aNow)
{
  aLink.mHealth.OnSent(aNow);
  mActions.emplace_back(
    SendToSidecar{ aLink.mView.mName, std::move(aMessage) });
  Watch(aLink, aNow);
}

void
EntryCore::Impl::Withdraw(UpstreamLink& aLink,
                          const AttemptKey& aKey,
                          Millis aNow)
{
  aLink.mWithdrawn.insert(aKey);
  Remember(aLink, aKey, aNow);
  if (aLink.Ready()) {
    Send(aLink, trefoilarch::Withdraw{ aKey }, aNow);
  }
}

void
EntryCore::Impl::Release(UpstreamLink& aLink, const EntryAttempt& aAttempt)
{
  if (aLink.mOpen.erase(aAttempt.mKey) > 0) {
    aLink.Count(-1, aAttempt.mTokens);
  }
}

void
EntryCore::Impl::CloseAttempt(const EntryAttempt& aAttempt, Millis aNow)
{
  UpstreamLink* link = LinkOf(aAttempt.mUpstream);
  if (!link) {
    return;
  }
  Release(*link, aAttempt);
  if (aAttempt.mIncarnation == link->mIncarnation) {
    Withdraw(*link, aAttempt.mKey, aNow);
  }
  Watch(*link, aNow);
}

void
EntryCore::Impl::Remember(UpstreamLink& aLink,
                          const AttemptKey& aKey,
                          Millis aNow)
{
  aLink.mForget.emplace_back(aNow + kForgetSpan, aKey);
}

void
EntryCore::Impl::Watch(UpstreamLink& aLink, Millis aNow)
{
  aLink.mHealth.SetStake(aLink.AtStake(), aNow);
  Millis wake = aLink.mHealth.NextWake();
  if (!aLink.mForget.empty()) {
    wake = std::min(wake, aLink.mForget.front().first);
  }
  if (wake < aLink.mWakeAt) {
    aLink.mWakeAt = wake;
    mLinkTimers.Arm(aLink.mView.mName, wake);
  }
}

bool
EntryCore::Impl::NeedsChannel(const UpstreamId& aUpstream) const
{
  const auto place = mLinks.find(aUpstream);
  return place != mLinks.end() && !place->second.mOpen.empty();
}

UpstreamLink*
EntryCore::Impl::LinkOf(const UpstreamId& aUpstream)
{
  const auto place = mLinks.find(aUpstream);
  return place == mLinks.end() ? nullptr : &place->second;
}

} // namespace trefoilarch
