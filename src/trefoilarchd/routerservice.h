#pragma once

#include "answermailbox.h"
#include "entrychannel.h"
#include "statequestion.h"

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

class ClaimHold;

/** A sidecar that this entry is to have a channel to. */
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

/** How a RouterService works. */
struct RouterOptions
{
  EntryOptions mCore;
  size_t mRingCapacity = 65536;
  Millis mFirstReconnect{ 100 };
  Millis mMostReconnect{ 2000 };
  /** How long the first channels may take before the entry is ready. */
  Millis mSettleSpan{ 2000 };
};

/**
 * The entry's decision thread: feeds the EntryCore with callers' requests and
 * sidecars' messages, and carries out what it says.
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
   * Takes a request in; false where the ring is full. One with a claim goes
   * on when its caller leaves, so that a repeat finds its answer.
   */
  bool Submit(EntryRequest aRequest,
              std::shared_ptr<AnswerMailbox> aMailbox,
              std::shared_ptr<ClaimHold> aClaim);
  void CallerLeft(RequestId aId);

  void SetSidecars(std::vector<SidecarAddress> aSidecars);
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  /** Called with each policy version that a sidecar's message carries; set
   * before Start. */
  void SetVersionHook(std::function<void(uint64_t)> aHook);

  size_t OpenRequests() const { return mOpen; }
  /**
   * Some sidecar is listed, and each has been heard or has had its time to
   * answer.
   */
  bool Settled() const { return mSettled; }
  /** Names of the models that some sidecar has told of, sorted. */
  std::vector<std::string> Models() const;
  /** Upstreams as their sidecars have told of them. */
  std::vector<UpstreamView> Upstreams() const;

private:
  struct Submitted
  {
    EntryRequest mRequest;
    std::shared_ptr<AnswerMailbox> mMailbox;
    std::shared_ptr<ClaimHold> mClaim;
  };
  struct Left
  {
    RequestId mId;
  };
  struct FromSidecar
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
                             Left,
                             FromSidecar,
                             ChannelDown,
                             NewSidecars,
                             NewClassifier,
                             StateQuestion>;

  /** One upstream's channel as the decision thread sees it. */
  struct Link
  {
    std::string mAddress;
    std::shared_ptr<EntryChannel> mChannel;
    uint64_t mGeneration = 0;
    Millis mReopenAt = Millis::Never();
    Millis mBackoff;
    bool mHeard = false;
    /** False: off the list, and kept until what runs there has ended. */
    bool mListed = true;
  };

  /** Where a request's answer goes. */
  struct Answer
  {
    std::shared_ptr<AnswerMailbox> mMailbox; /**< null: the caller left */
    std::shared_ptr<ClaimHold> mClaim;       /**< null: it has none */
  };

  void Run();
  void Handle(Event aEvent);
  void On(Submitted aEvent);
  void On(const Left& aEvent);
  void On(FromSidecar aEvent);
  void Learn(const SidecarMessage& aMessage);
  void CloseUnlisted();
  void On(const ChannelDown& aEvent);
  void On(const NewSidecars& aEvent);
  void On(const NewClassifier& aEvent);
  void On(const StateQuestion& aQuestion);
  void CarryOut(EntryActions aActions);
  void Do(const SendToSidecar& aAction);
  void Do(const ReopenChannel& aAction);
  void Do(AnswerHead aAction);
  void Do(AnswerData aAction);
  void Do(AnswerEnd aAction);
  void Do(AnswerError aAction);
  /** Lets the claim see what becomes of its request. */
  static void Tell(ClaimHold& aClaim, const AnswerEvent& aEvent);
  void Deliver(RequestId aId, AnswerEvent aEvent, bool aLast);
  void OpenChannel(const UpstreamId& aUpstream, Link& aLink);
  void CloseChannel(Link& aLink);
  void ReopenDue(Millis aNow);
  void LookWhetherSettled(Millis aNow);
  Millis Wait(Millis aNow) const;

  RouterOptions mOptions;
  trefoilio::Metrics& mMetrics;
  EntryCore mCore;
  /** Shared with channels that outlive their link for a moment. */
  std::shared_ptr<trefoilio::BoundedRing<Event>> mRing;
  std::map<UpstreamId, Link> mLinks;
  std::map<RequestId, Answer> mAnswers;
  std::vector<RequestId> mGone;
  uint64_t mNextGeneration = 1;
  std::minstd_rand mRandom;
  std::atomic<size_t> mOpen = 0;
  std::optional<Millis> mFirstList;
  std::atomic<bool> mSettled = false;
  std::function<void(uint64_t)> mVersionHook = [](uint64_t) {};
  mutable std::mutex mKnownMutex;
  std::map<UpstreamId, UpstreamView> mKnown;
  std::thread mThread;
};

} // namespace trefoilarch
