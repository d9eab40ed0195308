#pragma once

#include "answermailbox.h"
#include "entrychannel.h"
#include "statequery.h"

#include "libtrefoilarch/entrycore.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/metrics.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace trefoilarch {

class ClaimTracker;

/** A sidecar that this entry keeps a channel to. */
struct SidecarAddress
{
  UpstreamView mUpstream;
  std::string mAddress; /**< `ADDRESS:PORT` */
  bool mLeaving = false;

  bool operator==(const SidecarAddress& aOther) const
  {
    return mUpstream.mName == aOther.mUpstream.mName &&
           mAddress == aOther.mAddress && mLeaving == aOther.mLeaving;
  }
};

struct RouterOptions
{
  EntryOptions mCore;
  size_t mRingCapacity = 65536;
  /** Response data in the ring. */
  size_t mRingBytes = 4194304;
  Millis mMinReconnectDelay{ 100 };
  Millis mMaxReconnectDelay{ 2000 };
  /** How long the entry waits for sidecars before it counts as ready. */
  Millis mSettleTimeout{ 2000 };
};

/**
 * The entry's decision thread: passes callers' requests and sidecars' messages
 * to the EntryCore and performs the resulting actions.
 */
class RouterService final : public trefoilio::Service
{
public:
  static constexpr const char* kName = "router";

  RouterService(RouterOptions aOptions, trefoilio::Metrics& aMetrics);
  ~RouterService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /**
   * Queues a request; returns false if the ring is full. A request with a
   * claim continues after its caller disconnects, so that a retry finds its
   * response.
   */
  bool Submit(EntryRequest aRequest,
              std::shared_ptr<AnswerMailbox> aMailbox,
              std::shared_ptr<ClaimTracker> aClaim);
  void CallerLeft(RequestId aId);

  void SetSidecars(std::vector<SidecarAddress> aSidecars);
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  /** Sets a hook called with each policy version that a sidecar's message
   * carries; call before Start. */
  void SetVersionHook(std::function<void(uint64_t)> aHook);

  size_t OpenRequests() const { return mOpenRequests; }
  /**
   * Whether a sidecar has been listed, and every sidecar has sent a message
   * or the settle timeout has passed.
   */
  bool Settled() const { return mSettled; }
  /** Returns the names of the models that sidecars advertise, sorted. */
  std::vector<std::string> Models() const;
  /** Returns the upstreams as advertised by their sidecars. */
  std::vector<UpstreamView> Upstreams() const;

private:
  struct Submitted
  {
    EntryRequest mRequest;
    std::shared_ptr<AnswerMailbox> mMailbox;
    std::shared_ptr<ClaimTracker> mClaim;
  };
  struct CallerDisconnected
  {
    RequestId mId;
  };
  struct MessageReceived
  {
    UpstreamId mUpstream;
    uint64_t mGeneration = 0;
    SidecarMessage mMessage;
  };
  struct ChannelDown
  {
    UpstreamId mUpstream;
    uint64_t mGeneration = 0;
  };
  struct NewSidecars
  {
    std::vector<SidecarAddress> mSidecars;
  };
  struct NewClassifier
  {
    std::shared_ptr<const Classifier> mClassifier;
  };
  using Event = std::variant<Submitted,
                             CallerDisconnected,
                             MessageReceived,
                             ChannelDown,
                             NewSidecars,
                             NewClassifier,
                             StateQuery>;

  /** One upstream's channel as the decision thread sees it. */
  struct Link
  {
    std::string mAddress;
    std::shared_ptr<EntryChannel> mChannel;
    uint64_t mGeneration = 0;
    Millis mReopenAt = Millis::Never();
    Millis mBackoff;
    bool mMessageReceived = false;
    /** False if no longer listed; kept until its running requests end. */
    bool mListed = true;
  };

  /** The destination of a request's response. */
  struct Answer
  {
    std::shared_ptr<AnswerMailbox> mMailbox; /**< null if the caller left */
    std::shared_ptr<ClaimTracker> mClaim;    /**< null if it has none */
  };

  /** Bytes of response data in the event. */
  static size_t DataBytes(const Event& aEvent);

  void Run();
  void Handle(Event aEvent);
  void On(Submitted aEvent);
  void On(const CallerDisconnected& aEvent);
  void On(MessageReceived aEvent);
  void RecordSidecarInfo(const SidecarMessage& aMessage);
  void CloseUnlisted();
  void On(const ChannelDown& aEvent);
  void On(const NewSidecars& aEvent);
  void On(const NewClassifier& aEvent);
  void On(const StateQuery& aQuery);
  void PerformAll(EntryActions aActions);
  void Perform(const SendToSidecar& aAction);
  void Perform(const ReopenChannel& aAction);
  void Perform(AnswerHead aAction);
  void Perform(AnswerData aAction);
  void Perform(AnswerEnd aAction);
  void Perform(AnswerError aAction);
  /** Passes a response event to the claim. */
  static void ForwardToClaim(ClaimTracker& aClaim, const AnswerEvent& aEvent);
  void Deliver(RequestId aId, AnswerEvent aEvent, bool aLast);
  /** Ends an answer of which no more can be held. */
  void Cut(const RequestId& aId, AnswerMailbox& aMailbox, PushOutcome aReason);
  void OpenChannel(const UpstreamId& aUpstream, Link& aLink);
  void CloseChannel(Link& aLink);
  void ReopenDue(Millis aNow);
  void UpdateSettled(Millis aNow);
  Millis TimeToNextWake(Millis aNow) const;

  RouterOptions mOptions;
  trefoilio::Metrics& mMetrics;
  EntryCore mCore;
  /** Shared with channels, which may briefly outlive their link. */
  std::shared_ptr<trefoilio::BoundedRing<Event>> mRing;
  std::map<UpstreamId, Link> mLinks;
  std::map<RequestId, Answer> mAnswers;
  std::vector<RequestId> mCutAnswers;
  uint64_t mNextGeneration = 1;
  std::minstd_rand mRandom;
  std::atomic<size_t> mOpenRequests = 0;
  std::optional<Millis> mFirstListAt;
  std::atomic<bool> mSettled = false;
  std::function<void(uint64_t)> mVersionHook = [](uint64_t) {};
  mutable std::mutex mUpstreamViewsMutex;
  std::map<UpstreamId, UpstreamView> mUpstreamViews;
  std::thread mThread;
};

} // namespace trefoilarch
