#include "entryimpl.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/**
 * How long a withdrawn or completed attempt is kept in case the channel is
 * lost.
 */
constexpr Millis kEraseDelay{ 10000 };

/**
 * How long a started attempt waits for a lost channel before it is run on
 * another upstream, if rerunning it is safe.
 */
constexpr Millis kRerunDelay{ 1000 };

/**
 * The same if it is not safe. Sidecars cancel orphaned calls after the same
 * time.
 */
constexpr Millis kResumeTimeout{ 5000 };

} // namespace

void
EntryCore::Impl::OnChannelUp(const UpstreamId& aUpstream, Millis aNow)
{
  UpstreamLink* link = LinkOf(aUpstream);
  if (!link) {
    return;
  }
  if (link->mHealth.State() != ChannelState::Down) {
    HandleChannelLoss(*link, aNow);
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
    HandleChannelLoss(*link, aNow);
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
    const ChannelTimeouts timeouts{ .mSilence = mOptions.mSilenceTimeout,
                                    .mHeartbeat = mOptions.mHeartbeat,
                                    .mIdleHeartbeat = mOptions.mIdleHeartbeat };
    const auto [found, isNew] = mLinks.try_emplace(view.mName, timeouts);
    UpstreamLink& link = found->second;
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
      WithdrawOffers(link, aNow);
    }
  }
  EraseUnlisted();
  PlaceWaiting(aNow);
}

void
EntryCore::Impl::EraseUnlisted()
{
  for (auto current = mLinks.begin(); current != mLinks.end();) {
    const auto& [name, link] = *current;
    if (link.mListed || !link.mOpen.empty()) {
      ++current;
      continue;
    }
    mEligibleLinks.Invalidate();
    mOutlierDetector.Remove(name);
    mLinkTimers.Disarm(name);
    current = mLinks.erase(current);
  }
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink, Welcome aMessage, Millis aNow)
{
  const bool restarted =
    aLink.mWelcomed && aLink.mIncarnation != aMessage.mIncarnation;
  aLink.mHealth.OnWelcome(aNow);
  aLink.mIncarnation = aMessage.mIncarnation;
  aLink.SetLoad(aMessage.mLoad);
  UpdateLabels(aLink, std::move(aMessage));
  if (restarted) {
    mOutlierDetector.Reset(aLink.mView.mName);
    aLink.mWithdrawn.clear();
    aLink.mCompleted.clear();
  }
  Recover(aLink, aNow);
  PlaceWaiting(aNow);
}

void
EntryCore::Impl::UpdateLabels(UpstreamLink& aLink, Welcome aMessage)
{
  const bool unchanged = aLink.mWelcomed &&
                         aLink.mView.mLabels == aMessage.mLabels &&
                         aLink.mView.mDataCentre == aMessage.mDataCentre;
  if (unchanged) {
    return;
  }
  aLink.mWelcomed = true;
  aLink.mView.mDataCentre = std::move(aMessage.mDataCentre);
  aLink.mView.mLabels = std::move(aMessage.mLabels);
  mEligibleLinks.Invalidate();
  const Labels& labels = aLink.mView.mLabels;
  const auto model = labels.find("model");
  const auto service = labels.find("service");
  mOutlierDetector.Add(aLink.mView.mName,
                       model != labels.end()     ? "model=" + model->second
                       : service != labels.end() ? "service=" + service->second
                                                 : "");
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const SidecarHeartbeat& aMessage,
                        Millis aNow)
{
  aLink.SetLoad(aMessage.mLoad);
  if (!aLink.AcceptsWork()) {
    WithdrawOffers(aLink, aNow);
  }
}

void
EntryCore::Impl::Recover(UpstreamLink& aLink, Millis aNow)
{
  for (const AttemptKey& key : aLink.mWithdrawn) {
    Send(aLink, VoidOrReport{ key }, aNow);
  }
  for (const auto& [key, chunks] : aLink.mCompleted) {
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
  if (request->mStartedAttempt && request->mStartedAttempt->mKey == aKey) {
    if (request->mStartedAttempt->mIncarnation != aLink.mIncarnation) {
      HandleLostStart(*request, aNow);
      return;
    }
    request->mRetryAt = Millis::Never();
    ArmTimer(*request);
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
EntryCore::Impl::HandleChannelLoss(UpstreamLink& aLink, Millis aNow)
{
  aLink.mHealth.OnDown(aNow);
  const std::vector<AttemptKey> open(aLink.mOpen.begin(), aLink.mOpen.end());
  for (const AttemptKey& key : open) {
    OpenRequest* request = RequestOf(key);
    if (!request) {
      continue;
    }
    if (request->mStartedAttempt && request->mStartedAttempt->mKey == key) {
      const bool mayRerun =
        request->mRequest.mClassified.mIdempotent && !request->mHeadSent;
      request->mRetryAt = aNow + (mayRerun ? kRerunDelay : kResumeTimeout);
      ArmTimer(*request);
    } else if (!HasReadyOffer(*request)) {
      PlaceOrConclude(*request, aNow);
    }
  }
}

void
EntryCore::Impl::WithdrawOffers(UpstreamLink& aLink, Millis aNow)
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
EntryCore::Impl::PlaceWaiting(Millis aNow)
{
  const std::vector<RequestId> waiting(mAwaitingChannel.begin(),
                                       mAwaitingChannel.end());
  for (const RequestId& id : waiting) {
    const auto found = mRequests.find(id);
    if (found != mRequests.end()) {
      PlaceOrConclude(found->second, aNow);
    }
  }
}

void
EntryCore::Impl::OnLinkTimer(UpstreamLink& aLink, Millis aNow)
{
  aLink.mWakeAt = Millis::Never();
  while (!aLink.mEraseQueue.empty() &&
         aLink.mEraseQueue.front().first <= aNow) {
    const AttemptKey key = aLink.mEraseQueue.front().second;
    aLink.mEraseQueue.pop_front();
    aLink.mWithdrawn.erase(key);
    aLink.mCompleted.erase(key);
  }
  aLink.mHealth.SetAwaitingReply(aLink.AwaitsReply(), aNow);
  if (aLink.mHealth.IsSilent(aNow)) {
    mCounters.mChannelsReopened++;
    mActions.emplace_back(ReopenChannel{ aLink.mView.mName });
    HandleChannelLoss(aLink, aNow);
    ArmTimer(aLink, aNow);
    return;
  }
  if (aLink.mHealth.IsHeartbeatDue(aNow)) {
    Send(aLink, EntryHeartbeat{ PolicyVersion() }, aNow);
  }
  if (aLink.mHealth.IsProbeDue(aNow)) {
    aLink.mHealth.OnProbeSent(aNow);
    Send(aLink, VoidOrReport{ kProbe }, aNow);
  }
  ArmTimer(aLink, aNow);
}

void
EntryCore::Impl::Send(UpstreamLink& aLink, EntryMessage aMessage, Millis aNow)
{
  aLink.mHealth.OnSent(aNow);
  mActions.emplace_back(
    SendToSidecar{ aLink.mView.mName, std::move(aMessage) });
  ArmTimer(aLink, aNow);
}

void
EntryCore::Impl::Withdraw(UpstreamLink& aLink,
                          const AttemptKey& aKey,
                          Millis aNow)
{
  aLink.mWithdrawn.insert(aKey);
  ScheduleErase(aLink, aKey, aNow);
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
  ArmTimer(*link, aNow);
}

void
EntryCore::Impl::ScheduleErase(UpstreamLink& aLink,
                               const AttemptKey& aKey,
                               Millis aNow)
{
  aLink.mEraseQueue.emplace_back(aNow + kEraseDelay, aKey);
}

void
EntryCore::Impl::ArmTimer(UpstreamLink& aLink, Millis aNow)
{
  aLink.mHealth.SetAwaitingReply(aLink.AwaitsReply(), aNow);
  Millis wake = aLink.mHealth.NextWake();
  if (!aLink.mEraseQueue.empty()) {
    wake = std::min(wake, aLink.mEraseQueue.front().first);
  }
  if (wake < aLink.mWakeAt) {
    aLink.mWakeAt = wake;
    mLinkTimers.Arm(aLink.mView.mName, wake);
  }
}

bool
EntryCore::Impl::NeedsChannel(const UpstreamId& aUpstream) const
{
  const auto found = mLinks.find(aUpstream);
  return found != mLinks.end() && !found->second.mOpen.empty();
}

UpstreamLink*
EntryCore::Impl::LinkOf(const UpstreamId& aUpstream)
{
  const auto found = mLinks.find(aUpstream);
  return found == mLinks.end() ? nullptr : &found->second;
}

} // namespace trefoilarch
