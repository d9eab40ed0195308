#pragma once

#include "eligiblelinks.h"
#include "entrycore.h"
#include "openrequest.h"
#include "outlierdetector.h"
#include "outputestimator.h"
#include "placement.h"
#include "retrybudget.h"
#include "shedorder.h"
#include "timers.h"
#include "upstreamlink.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace trefoilarch {

/** Counters since the entry started. */
struct EntryCounters
{
  uint64_t mRequests = 0;
  uint64_t mCompleteResponses = 0;
  uint64_t mCallersLeft = 0;
  uint64_t mOffers = 0;
  uint64_t mStarts = 0;
  uint64_t mRetries = 0;
  uint64_t mChannelsReopened = 0;
  /** Late, crossed or duplicate messages. */
  uint64_t mMessagesDropped = 0;
  std::map<ErrorKind, uint64_t> mRefusals;
};

/**
 * Implementation of EntryCore. Each event appends to mActions, which the caller
 * takes at its end. Methods whose names begin with Conclude destroy the request
 * passed to them.
 */
class EntryCore::Impl
{
public:
  explicit Impl(EntryOptions aOptions);

  void OnRequest(EntryRequest aRequest, Millis aNow);
  void OnCallerLeft(RequestId aId, Millis aNow);
  void OnMessage(const UpstreamId& aUpstream,
                 SidecarMessage aMessage,
                 Millis aNow);
  void OnChannelUp(const UpstreamId& aUpstream, Millis aNow);
  void OnChannelDown(const UpstreamId& aUpstream, Millis aNow);
  void OnTick(Millis aNow);
  void SetUpstreams(std::vector<UpstreamView> aUpstreams,
                    const std::vector<UpstreamId>& aLeaving,
                    Millis aNow);
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);

  EntryActions TakeActions();
  bool NeedsChannel(const UpstreamId& aUpstream) const;
  size_t OpenRequests() const { return mRequests.size(); }
  Millis NextWake() const;
  std::string DumpState(Millis aNow) const;

private:
  /** Why a request cannot be offered to any upstream at present. */
  struct Availability
  {
    /**
     * Some eligible upstreams are reconnecting, or their labels are not known
     * yet.
     */
    bool mMayComeLater = false;
    bool mAnyEligible = false;
  };

  bool EvictLowerTier(Tier aTier, Millis aNow);

  // Offering and concluding requests.
  void Place(OpenRequest& aRequest, Millis aNow);
  void PlaceOrConclude(OpenRequest& aRequest, Millis aNow);
  size_t ReadyOffers(const OpenRequest& aRequest) const;
  std::vector<UpstreamLink*> Choose(const OpenRequest& aRequest,
                                    size_t aCount,
                                    Millis aNow);
  bool IsCandidate(const OpenRequest& aRequest,
                   const UpstreamLink& aLink) const;
  bool IsHealthy(const OpenRequest& aRequest,
                 const UpstreamLink& aLink,
                 Millis aNow) const;
  Availability CheckAvailability(const OpenRequest& aRequest,
                                 Millis aNow) const;
  static bool MayReconnect(const UpstreamLink& aLink, Millis aNow);
  bool IsEligible(const OpenRequest& aRequest, const UpstreamLink& aLink) const;
  bool HasReadyOffer(const OpenRequest& aRequest) const
  {
    return ReadyOffers(aRequest) > 0;
  }
  void SendOffer(OpenRequest& aRequest, UpstreamLink& aLink, Millis aNow);
  Offer OfferFor(const OpenRequest& aRequest,
                 const AttemptKey& aKey,
                 Millis aNow) const;
  void DropOffers(OpenRequest& aRequest, Millis aNow);
  void RetryOrConclude(OpenRequest& aRequest, Refusal aRefusal, Millis aNow);
  /**
   * The error for a started attempt whose sidecar was lost; idempotent requests
   * may be repeated by the caller.
   */
  static Refusal LostStartRefusal(const OpenRequest& aRequest);
  void HandleLostStart(OpenRequest& aRequest, Millis aNow);
  void OnRequestTimer(OpenRequest& aRequest, Millis aNow);
  void ConcludeWithError(OpenRequest& aRequest, Refusal aRefusal, Millis aNow);
  void ConcludeComplete(OpenRequest& aRequest, Millis aNow);
  void Conclude(OpenRequest& aRequest, Millis aNow);
  void Refuse(RequestId aId, Refusal aRefusal);
  Refusal NoUpstreamRefusal(const OpenRequest& aRequest,
                            const Availability& aAvailability);
  bool AnyUpstreamHasLabel(const OpenRequest& aRequest, const char* aKey) const;
  Millis Backoff(uint32_t aRetries);
  Millis JitteredRetryAfter();
  void ArmTimer(const OpenRequest& aRequest);

  // Messages from sidecars.
  void Handle(UpstreamLink& aLink, Welcome aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const Grant& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const Decline& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const Voided& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, Chunk aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const Finished& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const Failed& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink, const LedgerEntry& aMessage, Millis aNow);
  void Handle(UpstreamLink& aLink,
              const SidecarHeartbeat& aMessage,
              Millis aNow);
  OpenRequest* RequestOf(const AttemptKey& aKey);
  OpenRequest* StartedAt(const UpstreamLink& aLink, const AttemptKey& aKey);
  static std::optional<EntryAttempt> TakeOffer(const UpstreamLink& aLink,
                                               OpenRequest& aRequest,
                                               const AttemptKey& aKey);
  void StartAt(UpstreamLink& aLink,
               OpenRequest& aRequest,
               EntryAttempt aOffer,
               Millis aNow);
  static void RecordDecline(OpenRequest& aRequest, const Decline& aDecline);
  void PlaceAgain(OpenRequest& aRequest, ErrorKind aDeclined, Millis aNow);
  void OnProbeAnswered(UpstreamLink& aLink, Millis aNow);
  void ReportFirstToken(const OpenRequest& aRequest, Millis aNow);
  void Deliver(OpenRequest& aRequest, Chunk aChunk, Millis aNow);
  void AckIfDue(UpstreamLink& aLink, OpenRequest& aRequest, Millis aNow);
  /**
   * A ledger entry for an attempt that has not started or is not open any more.
   */
  void OnStrayLedgerEntry(UpstreamLink& aLink,
                          const LedgerEntry& aMessage,
                          Millis aNow);
  void OnStrayMessage(UpstreamLink& aLink, const AttemptKey& aKey, Millis aNow);
  void RequestMissingChunks(UpstreamLink& aLink,
                            OpenRequest& aRequest,
                            Millis aNow);

  // Channels.
  void Send(UpstreamLink& aLink, EntryMessage aMessage, Millis aNow);
  void Withdraw(UpstreamLink& aLink, const AttemptKey& aKey, Millis aNow);
  /** Removes the attempt from the upstream's open attempts. */
  static void Release(UpstreamLink& aLink, const EntryAttempt& aAttempt);
  void CloseAttempt(const EntryAttempt& aAttempt, Millis aNow);
  void ScheduleErase(UpstreamLink& aLink, const AttemptKey& aKey, Millis aNow);
  void ConfirmWithdrawal(UpstreamLink& aLink, const AttemptKey& aKey);
  void Recover(UpstreamLink& aLink, Millis aNow);
  void RecoverAttempt(UpstreamLink& aLink, const AttemptKey& aKey, Millis aNow);
  void HandleChannelLoss(UpstreamLink& aLink, Millis aNow);
  void UpdateLabels(UpstreamLink& aLink, Welcome aMessage);
  void EraseUnlisted();
  void WithdrawOffers(UpstreamLink& aLink, Millis aNow);
  void PlaceWaiting(Millis aNow);
  void OnLinkTimer(UpstreamLink& aLink, Millis aNow);
  void ArmTimer(UpstreamLink& aLink, Millis aNow);
  UpstreamLink* LinkOf(const UpstreamId& aUpstream);
  uint64_t PolicyVersion() const;

  EntryOptions mOptions;
  std::mt19937_64 mRandom;
  std::shared_ptr<const Classifier> mClassifier;
  std::unordered_map<RequestId, OpenRequest> mRequests;
  std::map<UpstreamId, UpstreamLink> mLinks;
  /** Requests waiting for a channel to open. */
  std::set<RequestId> mAwaitingChannel;
  Timers<RequestId> mRequestTimers;
  Timers<UpstreamId> mLinkTimers;
  EligibleLinks mEligibleLinks;
  Placement mPlacement;
  OutlierDetector mOutlierDetector;
  RetryBudget mRetryBudget;
  OutputEstimator mOutputEstimator;
  /** Requests that have not started. */
  ShedOrder mShedOrder;
  EntryCounters mCounters;
  EntryActions mActions;
};

} // namespace trefoilarch
