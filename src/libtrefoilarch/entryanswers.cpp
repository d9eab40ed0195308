#include "entryimpl.h"

#include "httpstatus.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** An Ack is sent after this many chunks or bytes. */
constexpr uint64_t kAckChunks = 16;
constexpr size_t kAckBytes = 64 * 1024;

/** Weight of the newest round trip: one in this many. */
constexpr int64_t kRoundTripSmoothing = 4;

/** Added to each prompt's length when first-token times are compared. */
constexpr int64_t kTypicalPromptTokens = 2000;

/** Rounds of offers for one request before its declines are final. */
constexpr uint32_t kMaxOfferRounds = 3;

bool
IsUpstreamFailure(ErrorKind aKind)
{
  return aKind == ErrorKind::UpstreamUnreachable ||
         aKind == ErrorKind::UpstreamFailed || aKind == ErrorKind::AnswerCut;
}

} // namespace

void
EntryCore::Impl::OnMessage(const UpstreamId& aUpstream,
                           SidecarMessage aMessage,
                           Millis aNow)
{
  UpstreamLink* link = LinkOf(aUpstream);
  const bool isWelcome = std::holds_alternative<Welcome>(aMessage);
  if (!link || link->mHealth.State() == ChannelState::Down ||
      (!link->Ready() && !isWelcome)) {
    mCounters.mMessagesDropped++;
    return;
  }
  std::visit([&](auto& aTyped) { Handle(*link, std::move(aTyped), aNow); },
             aMessage);
  ArmTimer(*link, aNow);
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink, const Grant& aMessage, Millis aNow)
{
  OpenRequest* request = RequestOf(aMessage.mKey);
  const auto offer =
    request ? TakeOffer(aLink, *request, aMessage.mKey) : std::nullopt;
  if (!offer) {
    OnStrayMessage(aLink, aMessage.mKey, aNow);
    return;
  }
  aLink.mHealth.OnDelivered(offer->mOfferedAt);
  if (IsEligible(*request, aLink)) {
    StartAt(aLink, *request, *offer, aNow);
    return;
  }
  CloseAttempt(*offer, aNow);
  if (!HasReadyOffer(*request)) {
    PlaceOrConclude(*request, aNow);
  }
}

void
EntryCore::Impl::StartAt(UpstreamLink& aLink,
                         OpenRequest& aRequest,
                         EntryAttempt aOffer,
                         Millis aNow)
{
  aOffer.mStartedAt = aNow;
  aRequest.mStartedAttempt = aOffer;
  aRequest.mRetryAt = Millis::Never();
  aRequest.mHoldUntil.reset();
  mAwaitingChannel.erase(aRequest.mRequest.mId);
  mCounters.mStarts++;
  Send(aLink, Start{ aOffer.mKey, aRequest.mRequest.mCall }, aNow);
  DropOffers(aRequest, aNow);
  ArmTimer(aRequest);
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const Decline& aMessage,
                        Millis aNow)
{
  OpenRequest* request = RequestOf(aMessage.mKey);
  const auto offer =
    request ? TakeOffer(aLink, *request, aMessage.mKey) : std::nullopt;
  if (!offer) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
    return;
  }
  aLink.mHealth.OnDelivered(offer->mOfferedAt);
  Release(aLink, *offer);
  request->mDeclinedBy.push_back(aLink.mView.mName);
  RecordDecline(*request, aMessage);
  if (aMessage.mKind == ErrorKind::DeadlineExceeded) {
    ConcludeWithError(*request, *request->mRefusal, aNow);
  } else if (!HasReadyOffer(*request)) {
    PlaceAgain(*request, aMessage.mKind, aNow);
  }
}

void
EntryCore::Impl::RecordDecline(OpenRequest& aRequest, const Decline& aDecline)
{
  const auto& current = aRequest.mRefusal;
  const bool shuttingDown = aDecline.mKind == ErrorKind::ShuttingDown;
  const bool replaces =
    !current || current->mKind == ErrorKind::ShuttingDown ||
    aDecline.mKind == ErrorKind::DeadlineExceeded ||
    (!shuttingDown && aDecline.mRetryAfter < current->mRetryAfter);
  if (replaces) {
    aRequest.mRefusal = { aDecline.mKind,
                          Ran::No,
                          aDecline.mRetryAfter,
                          "declined by every upstream that was asked" };
  }
}

void
EntryCore::Impl::PlaceAgain(OpenRequest& aRequest,
                            ErrorKind aDeclined,
                            Millis aNow)
{
  const bool shuttingDown = aDeclined == ErrorKind::ShuttingDown;
  aRequest.mRounds += shuttingDown ? 0 : 1;
  if (aRequest.mRounds < kMaxOfferRounds) {
    PlaceOrConclude(aRequest, aNow);
  } else {
    ConcludeWithError(aRequest, *aRequest.mRefusal, aNow);
  }
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const Voided& aMessage,
                        Millis aNow)
{
  if (aMessage.mKey == kProbe) {
    OnProbeAnswered(aLink, aNow);
    return;
  }
  OpenRequest* request = RequestOf(aMessage.mKey);
  if (!request || aMessage.mIncarnation != aLink.mIncarnation) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
    return;
  }
  auto attempt = TakeOffer(aLink, *request, aMessage.mKey);
  if (!attempt && StartedAt(aLink, aMessage.mKey)) {
    attempt = std::exchange(request->mStartedAttempt, std::nullopt);
  }
  if (!attempt) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
    return;
  }
  Release(aLink, *attempt);
  if (!HasReadyOffer(*request)) {
    PlaceOrConclude(*request, aNow);
  }
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink, Chunk aMessage, Millis aNow)
{
  OpenRequest* request = StartedAt(aLink, aMessage.mKey);
  if (!request) {
    OnStrayMessage(aLink, aMessage.mKey, aNow);
    return;
  }
  if (aMessage.mNumber != request->mNextChunk) {
    mCounters.mMessagesDropped++;
    if (aMessage.mNumber > request->mNextChunk) {
      RequestMissingChunks(aLink, *request, aNow);
    }
    return;
  }
  if (!request->mHeadSent && !IsFinalHttpStatus(aMessage.mStatus)) {
    // Sidecars of earlier versions forward any status.
    request->mMayHaveRun = true;
    ConcludeWithError(*request,
                      { ErrorKind::UpstreamFailed,
                        Ran::Maybe,
                        Millis(),
                        "the answer's status is out of range" },
                      aNow);
    return;
  }
  Deliver(*request, std::move(aMessage), aNow);
  if (request->mEndChunk == request->mNextChunk) {
    ConcludeComplete(*request, aNow);
  } else {
    AckIfDue(aLink, *request, aNow);
  }
}

void
EntryCore::Impl::Deliver(OpenRequest& aRequest, Chunk aChunk, Millis aNow)
{
  const RequestId id = aRequest.mRequest.mId;
  if (!aRequest.mHeadSent) {
    ReportFirstToken(aRequest, aNow);
    aRequest.mHeadSent = true;
    aRequest.mRequest.mCall = {};
    mActions.emplace_back(
      AnswerHead{ id, aChunk.mStatus, std::move(aChunk.mHeaders) });
  }
  aRequest.mNextChunk++;
  aRequest.mResumeSent = false;
  aRequest.mUnackedBytes += aChunk.mData.size();
  if (!aChunk.mData.empty()) {
    mActions.emplace_back(AnswerData{ id, std::move(aChunk.mData) });
  }
}

void
EntryCore::Impl::AckIfDue(UpstreamLink& aLink,
                          OpenRequest& aRequest,
                          Millis aNow)
{
  if (aRequest.mNextChunk - aRequest.mAckedChunk < kAckChunks &&
      aRequest.mUnackedBytes < kAckBytes) {
    return;
  }
  aRequest.mAckedChunk = aRequest.mNextChunk;
  aRequest.mUnackedBytes = 0;
  Send(aLink, Ack{ aRequest.mStartedAttempt->mKey, aRequest.mNextChunk }, aNow);
}

void
EntryCore::Impl::RequestMissingChunks(UpstreamLink& aLink,
                                      OpenRequest& aRequest,
                                      Millis aNow)
{
  if (std::exchange(aRequest.mResumeSent, true)) {
    return;
  }
  Send(
    aLink, Resume{ aRequest.mStartedAttempt->mKey, aRequest.mNextChunk }, aNow);
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const Finished& aMessage,
                        Millis aNow)
{
  OpenRequest* request = StartedAt(aLink, aMessage.mKey);
  if (!request) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
    return;
  }
  const bool inconsistent =
    aMessage.mChunks == 0 || aMessage.mChunks < request->mNextChunk;
  if (inconsistent) {
    request->mMayHaveRun = true;
    ConcludeWithError(*request,
                      { ErrorKind::UpstreamFailed,
                        Ran::Maybe,
                        Millis(),
                        "the end of the answer does not fit its parts" },
                      aNow);
    return;
  }
  if (!std::exchange(request->mEndChunk, aMessage.mChunks)) {
    const ServiceLevel& level = request->mRequest.mClassified.mLevel;
    mOutputEstimator.Add(
      level.mClass, level.mWorkspace, aMessage.mOutputTokens);
  }
  if (request->mNextChunk == aMessage.mChunks) {
    ConcludeComplete(*request, aNow);
  } else {
    RequestMissingChunks(aLink, *request, aNow);
  }
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const Failed& aMessage,
                        Millis aNow)
{
  if (aMessage.mChunks > 0) {
    Send(aLink, Ack{ aMessage.mKey, aMessage.mChunks }, aNow);
  }
  OpenRequest* request = StartedAt(aLink, aMessage.mKey);
  if (!request) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
    return;
  }
  request->mMayHaveRun |= aMessage.mRan == Ran::Maybe || request->mHeadSent;
  Release(aLink, *request->mStartedAttempt);
  request->mStartedAttempt.reset();
  request->mFailedUpstreams.push_back(aLink.mView.mName);
  if (IsUpstreamFailure(aMessage.mKind)) {
    mOutlierDetector.OnFailure(aLink.mView.mName, aNow);
  }
  // A sidecar that lost contact with this entry cancels its running calls.
  if (aMessage.mKind == ErrorKind::CallerLeft) {
    RetryOrConclude(*request, LostStartRefusal(*request), aNow);
    return;
  }
  RetryOrConclude(*request,
                  { aMessage.mKind,
                    aMessage.mRan,
                    Millis(),
                    "the upstream did not complete the answer" },
                  aNow);
}

void
EntryCore::Impl::Handle(UpstreamLink& aLink,
                        const LedgerEntry& aMessage,
                        Millis aNow)
{
  if (aMessage.mKey == kProbe) {
    OnProbeAnswered(aLink, aNow);
    return;
  }
  if (aMessage.mIncarnation != aLink.mIncarnation) {
    mCounters.mMessagesDropped++;
    return;
  }
  if (aMessage.mState == AttemptState::Voided) {
    Handle(aLink, Voided{ aMessage.mKey, aMessage.mIncarnation }, aNow);
    return;
  }
  OpenRequest* request = StartedAt(aLink, aMessage.mKey);
  if (!request) {
    OnStrayLedgerEntry(aLink, aMessage, aNow);
    return;
  }
  const bool alreadyRequested = std::exchange(request->mResumeSent, true);
  const bool running = aMessage.mState == AttemptState::Running;
  if (aMessage.mState == AttemptState::Unknown ||
      (alreadyRequested && !running)) {
    HandleLostStart(*request, aNow);
  } else if (!alreadyRequested) {
    Send(aLink, Resume{ aMessage.mKey, request->mNextChunk }, aNow);
  }
}

void
EntryCore::Impl::OnStrayLedgerEntry(UpstreamLink& aLink,
                                    const LedgerEntry& aMessage,
                                    Millis aNow)
{
  OpenRequest* request = RequestOf(aMessage.mKey);
  const auto offer =
    request ? TakeOffer(aLink, *request, aMessage.mKey) : std::nullopt;
  if (offer) {
    Release(aLink, *offer);
    if (!HasReadyOffer(*request)) {
      PlaceOrConclude(*request, aNow);
    }
    return;
  }
  if (!aLink.mWithdrawn.contains(aMessage.mKey)) {
    mCounters.mMessagesDropped++;
    return;
  }
  if (aMessage.mState != AttemptState::Running) {
    ConfirmWithdrawal(aLink, aMessage.mKey);
  }
  if (aMessage.mState != AttemptState::Unknown) {
    Send(aLink, trefoilarch::Withdraw{ aMessage.mKey }, aNow);
  }
}

void
EntryCore::Impl::OnProbeAnswered(UpstreamLink& aLink, Millis aNow)
{
  const auto took = aLink.mHealth.OnProbeAnswered(aNow);
  if (took) {
    const Millis step = (*took - aLink.mRoundTrip) / kRoundTripSmoothing;
    aLink.mRoundTrip += step;
  }
}

void
EntryCore::Impl::ReportFirstToken(const OpenRequest& aRequest, Millis aNow)
{
  const Millis took = aNow - aRequest.mStartedAttempt->mStartedAt;
  const int64_t tokens = aRequest.mRequest.mPromptTokens;
  mOutlierDetector.OnFirstToken(aRequest.mStartedAttempt->mUpstream,
                                took * kTypicalPromptTokens /
                                  (kTypicalPromptTokens + tokens),
                                aNow);
}

void
EntryCore::Impl::OnStrayMessage(UpstreamLink& aLink,
                                const AttemptKey& aKey,
                                Millis aNow)
{
  mCounters.mMessagesDropped++;
  const auto completed = aLink.mCompleted.find(aKey);
  if (completed != aLink.mCompleted.end()) {
    return;
  }
  if (!aLink.mWithdrawn.contains(aKey)) {
    Withdraw(aLink, aKey, aNow);
  }
}

void
EntryCore::Impl::ConfirmWithdrawal(UpstreamLink& aLink, const AttemptKey& aKey)
{
  mCounters.mMessagesDropped += aLink.mWithdrawn.erase(aKey) ? 0 : 1;
}

OpenRequest*
EntryCore::Impl::RequestOf(const AttemptKey& aKey)
{
  const auto found = mRequests.find(aKey.mRequest);
  return found == mRequests.end() ? nullptr : &found->second;
}

OpenRequest*
EntryCore::Impl::StartedAt(const UpstreamLink& aLink, const AttemptKey& aKey)
{
  OpenRequest* request = RequestOf(aKey);
  const bool current =
    request && request->mStartedAttempt &&
    request->mStartedAttempt->mKey == aKey &&
    request->mStartedAttempt->mUpstream == aLink.mView.mName &&
    request->mStartedAttempt->mIncarnation == aLink.mIncarnation;
  return current ? request : nullptr;
}

std::optional<EntryAttempt>
EntryCore::Impl::TakeOffer(const UpstreamLink& aLink,
                           OpenRequest& aRequest,
                           const AttemptKey& aKey)
{
  const auto found = std::find_if(
    aRequest.mOffers.begin(),
    aRequest.mOffers.end(),
    [&](const EntryAttempt& aOffer) {
      return aOffer.mKey == aKey && aOffer.mUpstream == aLink.mView.mName;
    });
  if (found == aRequest.mOffers.end()) {
    return std::nullopt;
  }
  EntryAttempt offer = std::move(*found);
  aRequest.mOffers.erase(found);
  return offer;
}

} // namespace trefoilarch
