#include "entryimpl.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace trefoilarch {

namespace {

/** How long a request waits for a channel to be reopened. */
constexpr Millis kReconnectWait{ 2000 };

/**
 * Requests do not wait for an upstream that has been unreachable for this long.
 */
constexpr Millis kReconnectTimeout{ 3000 };

/** Maximum number of retries of one request. */
constexpr uint32_t kMaxRetries = 3;

/** Minimum time to retry after if no sidecar gave one. */
constexpr Millis kMinRetryAfter{ 1000 };

constexpr std::array kRetryableKinds = { ErrorKind::UpstreamUnreachable,
                                         ErrorKind::UpstreamFailed,
                                         ErrorKind::AnswerCut,
                                         ErrorKind::OutcomeUnknown,
                                         ErrorKind::Shed,
                                         ErrorKind::ShuttingDown };

bool
Contains(const auto& aAll, const auto& aOne)
{
  return std::find(aAll.begin(), aAll.end(), aOne) != aAll.end();
}

/** Error kind reported to a caller that has received part of the response. */
ErrorKind
KindAfterHead(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::UpstreamUnreachable:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::OutcomeUnknown:
      return ErrorKind::AnswerCut;
    default:
      return aKind;
  }
}

} // namespace

void
EntryCore::Impl::PlaceOrConclude(OpenRequest& aRequest, Millis aNow)
{
  Place(aRequest, aNow);
  if (HasReadyOffer(aRequest)) {
    aRequest.mHoldUntil.reset();
    aRequest.mRetryAt = Millis::Never();
    mAwaitingChannel.erase(aRequest.mRequest.mId);
    ArmTimer(aRequest);
    return;
  }
  const Availability availability = CheckAvailability(aRequest, aNow);
  const Millis holdUntil = aRequest.mHoldUntil.value_or(aNow + kReconnectWait);
  if (!availability.mMayComeLater || aNow >= holdUntil) {
    ConcludeWithError(
      aRequest, NoUpstreamRefusal(aRequest, availability), aNow);
    return;
  }
  aRequest.mHoldUntil = holdUntil;
  aRequest.mRetryAt = holdUntil;
  mAwaitingChannel.insert(aRequest.mRequest.mId);
  ArmTimer(aRequest);
}

void
EntryCore::Impl::Place(OpenRequest& aRequest, Millis aNow)
{
  const bool isUpperTier =
    aRequest.mRequest.mClassified.mLevel.mTier < kTierCount / 2;
  const size_t width = mOptions.mOfferWidth + (isUpperTier ? 1 : 0);
  const size_t ready = ReadyOffers(aRequest);
  if (ready >= width) {
    return;
  }
  for (UpstreamLink* link : Choose(aRequest, width - ready, aNow)) {
    SendOffer(aRequest, *link, aNow);
  }
}

std::vector<UpstreamLink*>
EntryCore::Impl::Choose(const OpenRequest& aRequest, size_t aCount, Millis aNow)
{
  const EntryRequest& request = aRequest.mRequest;
  RankedSet& eligible =
    mEligibleLinks.For(request.mClassified.mTraffic, mLinks);
  auto chosen = mPlacement.Choose(
    eligible,
    request.mPrefixHash,
    aCount,
    [&](const UpstreamLink& aLink) {
      return IsCandidate(aRequest, aLink) && IsHealthy(aRequest, aLink, aNow);
    },
    aNow);
  if (!chosen.empty() || HasReadyOffer(aRequest)) {
    return chosen;
  }
  return mPlacement.Choose(
    eligible,
    request.mPrefixHash,
    aCount,
    [&](const UpstreamLink& aLink) { return IsCandidate(aRequest, aLink); },
    aNow);
}

bool
EntryCore::Impl::IsCandidate(const OpenRequest& aRequest,
                             const UpstreamLink& aLink) const
{
  const UpstreamId& name = aLink.mView.mName;
  return aLink.Ready() && aLink.AcceptsWork() &&
         !Contains(aRequest.mDeclinedBy, name) &&
         std::none_of(aRequest.mOffers.begin(),
                      aRequest.mOffers.end(),
                      [&](const EntryAttempt& aOffer) {
                        return aOffer.mUpstream == name;
                      });
}

bool
EntryCore::Impl::IsHealthy(const OpenRequest& aRequest,
                           const UpstreamLink& aLink,
                           Millis aNow) const
{
  if (Contains(aRequest.mFailedUpstreams, aLink.mView.mName)) {
    return false;
  }
  const OutlierState state = mOutlierDetector.State(aLink.mView.mName, aNow);
  return state == OutlierState::Healthy ||
         (state == OutlierState::Probing && aLink.mOpen.empty());
}

EntryCore::Impl::Availability
EntryCore::Impl::CheckAvailability(const OpenRequest& aRequest,
                                   Millis aNow) const
{
  Availability availability;
  for (const auto& [name, link] : mLinks) {
    if (!link.mWelcomed) {
      availability.mMayComeLater |= link.mListed && MayReconnect(link, aNow);
      continue;
    }
    if (!link.AcceptsWork() || !IsEligible(aRequest, link)) {
      continue;
    }
    availability.mAnyEligible = true;
    availability.mMayComeLater |= !link.Ready() && MayReconnect(link, aNow) &&
                                  !Contains(aRequest.mDeclinedBy, name);
  }
  return availability;
}

bool
EntryCore::Impl::MayReconnect(const UpstreamLink& aLink, Millis aNow)
{
  return aNow < std::max(aLink.mListedSince, aLink.mHealth.DownSince()) +
                  kReconnectTimeout;
}

bool
EntryCore::Impl::IsEligible(const OpenRequest& aRequest,
                            const UpstreamLink& aLink) const
{
  return mClassifier && mClassifier->IsEligible(
                          aRequest.mRequest.mClassified.mTraffic, aLink.mView);
}

size_t
EntryCore::Impl::ReadyOffers(const OpenRequest& aRequest) const
{
  return static_cast<size_t>(
    std::count_if(aRequest.mOffers.begin(),
                  aRequest.mOffers.end(),
                  [this](const EntryAttempt& aOffer) {
                    const auto found = mLinks.find(aOffer.mUpstream);
                    return found != mLinks.end() && found->second.Ready();
                  }));
}

void
EntryCore::Impl::SendOffer(OpenRequest& aRequest,
                           UpstreamLink& aLink,
                           Millis aNow)
{
  const AttemptKey key{ aRequest.mRequest.mId, ++aRequest.mLastAttempt };
  const Offer offer = OfferFor(aRequest, key, aNow);
  const uint32_t tokens = offer.mPromptTokens + offer.mOutputTokens;
  aRequest.mOffers.push_back({ .mKey = key,
                               .mUpstream = aLink.mView.mName,
                               .mIncarnation = aLink.mIncarnation,
                               .mTokens = tokens,
                               .mOfferedAt = aNow });
  aLink.mOpen.insert(key);
  aLink.Count(1, tokens);
  mCounters.mOffers++;
  Send(aLink, offer, aNow);
}

Offer
EntryCore::Impl::OfferFor(const OpenRequest& aRequest,
                          const AttemptKey& aKey,
                          Millis aNow) const
{
  const ClassifiedRequest& classified = aRequest.mRequest.mClassified;
  const ServiceLevel& level = classified.mLevel;
  const Millis firstTokenDueAt = aRequest.mArrivedAt + level.mFirstTokenTarget;
  const bool hasTokens = classified.mTraffic.contains("model");
  const uint32_t output =
    hasTokens ? mOutputEstimator.Estimate(level.mClass,
                                          level.mWorkspace,
                                          aRequest.mRequest.mMaxOutputTokens)
              : 0;
  return { .mKey = aKey,
           .mLevel = level,
           .mDeadline = std::max(aRequest.mDeadline - aNow, Millis()),
           .mFirstTokenDue = std::max(firstTokenDueAt - aNow, Millis()),
           .mPromptTokens = aRequest.mRequest.mPromptTokens,
           .mOutputTokens = output,
           .mPrefixHash = aRequest.mRequest.mPrefixHash,
           .mIdempotent = classified.mIdempotent };
}

void
EntryCore::Impl::DropOffers(OpenRequest& aRequest, Millis aNow)
{
  for (const EntryAttempt& offer : std::exchange(aRequest.mOffers, {})) {
    CloseAttempt(offer, aNow);
  }
}

void
EntryCore::Impl::RetryOrConclude(OpenRequest& aRequest,
                                 Refusal aRefusal,
                                 Millis aNow)
{
  const ClassifiedRequest& classified = aRequest.mRequest.mClassified;
  const bool mayRerun =
    !aRequest.mHeadSent && (classified.mIdempotent || !aRequest.mMayHaveRun);
  // A started attempt ends as shed only by preemption, which is no upstream
  // failure.
  const bool preempted = aRefusal.mKind == ErrorKind::Shed;
  const Millis retryAt = aNow + Backoff(aRequest.mRetries);
  if (!mayRerun || !Contains(kRetryableKinds, aRefusal.mKind) ||
      aRequest.mRetries >= kMaxRetries || retryAt >= aRequest.mDeadline ||
      !(preempted || mRetryBudget.TakeRetry(classified.mLevel.mClass))) {
    ConcludeWithError(aRequest, std::move(aRefusal), aNow);
    return;
  }
  mCounters.mRetries++;
  aRequest.mRetries++;
  aRequest.mRefusal = std::move(aRefusal);
  aRequest.mRetryAt = retryAt;
  ArmTimer(aRequest);
}

Refusal
EntryCore::Impl::LostStartRefusal(const OpenRequest& aRequest)
{
  const bool mayRepeat = aRequest.mRequest.mClassified.mIdempotent;
  return { mayRepeat ? ErrorKind::UpstreamFailed : ErrorKind::OutcomeUnknown,
           Ran::Maybe,
           Millis(),
           "the upstream's host was lost after the start" };
}

void
EntryCore::Impl::HandleLostStart(OpenRequest& aRequest, Millis aNow)
{
  const EntryAttempt attempt =
    *std::exchange(aRequest.mStartedAttempt, std::nullopt);
  aRequest.mMayHaveRun = true;
  aRequest.mFailedUpstreams.push_back(attempt.mUpstream);
  CloseAttempt(attempt, aNow);
  RetryOrConclude(aRequest, LostStartRefusal(aRequest), aNow);
}

void
EntryCore::Impl::OnRequestTimer(OpenRequest& aRequest, Millis aNow)
{
  if (aNow >= aRequest.mDeadline) {
    if (aRequest.mStartedAttempt && !aRequest.mHeadSent) {
      ReportFirstToken(aRequest, aNow);
    }
    ConcludeWithError(aRequest,
                      { ErrorKind::DeadlineExceeded,
                        Ran::No,
                        JitteredRetryAfter(),
                        "the deadline passed" },
                      aNow);
    return;
  }
  if (aNow < aRequest.mRetryAt) {
    ArmTimer(aRequest);
    return;
  }
  aRequest.mRetryAt = Millis::Never();
  if (aRequest.mStartedAttempt) {
    HandleLostStart(aRequest, aNow);
  } else {
    PlaceOrConclude(aRequest, aNow);
  }
}

void
EntryCore::Impl::ConcludeWithError(OpenRequest& aRequest,
                                   Refusal aRefusal,
                                   Millis aNow)
{
  const bool mayHaveRun = aRequest.mMayHaveRun || aRequest.mStartedAttempt;
  aRefusal.mRan = mayHaveRun ? Ran::Maybe : Ran::No;
  if (aRequest.mHeadSent) {
    aRefusal.mKind = KindAfterHead(aRefusal.mKind);
  }
  const bool worthRetrying = AnswerFor(aRefusal.mKind).mRetryable;
  if (worthRetrying && aRefusal.mRetryAfter <= Millis()) {
    aRefusal.mRetryAfter = JitteredRetryAfter();
  } else if (!worthRetrying) {
    aRefusal.mRetryAfter = Millis();
  }
  Refuse(aRequest.mRequest.mId, std::move(aRefusal));
  Conclude(aRequest, aNow);
}

void
EntryCore::Impl::ConcludeComplete(OpenRequest& aRequest, Millis aNow)
{
  const EntryAttempt attempt =
    *std::exchange(aRequest.mStartedAttempt, std::nullopt);
  const uint64_t chunks = aRequest.mNextChunk;
  mCounters.mCompleteResponses++;
  mActions.emplace_back(AnswerEnd{ aRequest.mRequest.mId });
  if (UpstreamLink* link = LinkOf(attempt.mUpstream)) {
    Release(*link, attempt);
    ScheduleErase(*link, attempt.mKey, aNow);
    link->mCompleted[attempt.mKey] = chunks;
    Send(*link, Ack{ attempt.mKey, chunks }, aNow);
  }
  Conclude(aRequest, aNow);
}

void
EntryCore::Impl::Conclude(OpenRequest& aRequest, Millis aNow)
{
  DropOffers(aRequest, aNow);
  if (aRequest.mStartedAttempt) {
    CloseAttempt(*aRequest.mStartedAttempt, aNow);
  }
  const RequestId id = aRequest.mRequest.mId;
  mRequestTimers.Disarm(id);
  mAwaitingChannel.erase(id);
  mShedOrder.Remove(id);
  mRequests.erase(id);
}

Refusal
EntryCore::Impl::NoUpstreamRefusal(const OpenRequest& aRequest,
                                   const Availability& aAvailability)
{
  if (aRequest.mRefusal) {
    return *aRequest.mRefusal;
  }
  if (aAvailability.mAnyEligible) {
    return { ErrorKind::UpstreamUnreachable,
             Ran::No,
             JitteredRetryAfter(),
             "no upstream for this request can be reached" };
  }
  if (aAvailability.mMayComeLater) {
    return { ErrorKind::NotReady,
             Ran::No,
             JitteredRetryAfter(),
             "this entry does not know its upstreams yet" };
  }
  if (!AnyUpstreamHasLabel(aRequest, "model")) {
    return { ErrorKind::UnknownModel, Ran::No, Millis(), "unknown model" };
  }
  if (!AnyUpstreamHasLabel(aRequest, "service")) {
    return { ErrorKind::UnknownService, Ran::No, Millis(), "unknown service" };
  }
  return { ErrorKind::NoEligibleUpstream,
           Ran::No,
           JitteredRetryAfter(),
           "no selector lets this request go to an upstream that is in use" };
}

bool
EntryCore::Impl::AnyUpstreamHasLabel(const OpenRequest& aRequest,
                                     const char* aKey) const
{
  const Labels& traffic = aRequest.mRequest.mClassified.mTraffic;
  const auto requested = traffic.find(aKey);
  return requested == traffic.end() ||
         std::any_of(mLinks.begin(), mLinks.end(), [&](const auto& aLink) {
           const Labels& labels = aLink.second.mView.mLabels;
           const auto has = labels.find(aKey);
           return has != labels.end() && has->second == requested->second;
         });
}

Millis
EntryCore::Impl::Backoff(uint32_t aRetries)
{
  const Millis maxDelay =
    std::min(mOptions.mInitialBackoff * (int64_t{ 1 } << aRetries),
             mOptions.mMaxBackoff);
  std::uniform_int_distribution<int64_t> spread(maxDelay.Count() / 2,
                                                maxDelay.Count());
  return Millis(spread(mRandom));
}

Millis
EntryCore::Impl::JitteredRetryAfter()
{
  std::uniform_int_distribution<int64_t> spread(kMinRetryAfter.Count(),
                                                2 * kMinRetryAfter.Count());
  return Millis(spread(mRandom));
}

void
EntryCore::Impl::ArmTimer(const OpenRequest& aRequest)
{
  const EntryRequest& request = aRequest.mRequest;
  if (aRequest.mStartedAttempt) {
    mShedOrder.Remove(request.mId);
  } else {
    mShedOrder.Add(request.mId, request.mClassified.mLevel.mTier);
  }
  mRequestTimers.Arm(aRequest.mRequest.mId,
                     std::min(aRequest.mDeadline, aRequest.mRetryAt));
}

} // namespace trefoilarch
