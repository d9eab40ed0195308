#pragma once

#include "policypeer.h"
#include "policystore.h"

#include "libtrefoilarch/classifier.h"
#include "libtrefoilarch/policylog.h"
#include "libtrefoilio/boundedring.h"
#include "libtrefoilio/httpmessage.h"
#include "libtrefoilio/service.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace trefoilio {
class Metrics;
} // namespace trefoilio

namespace trefoilarch {

struct PolicyServiceOptions
{
  /** Empty where there is no platform: the policy then stays empty. */
  std::shared_ptr<const PlatformClient> mPlatform;
  /** This process's own peer address, which is never asked. */
  std::string mOwnPeerAddress;
  PolicyLogOptions mLog;
  /** How long an operator's change may take until it is "unknown". */
  Millis mProposalSpan{ 8000 };
  Millis mPullTimeout{ 1500 };
  trefoilio::Metrics* mMetrics = nullptr;
};

/**
 * Keeps this process's policy by the change log. One thread decides
 * (PolicyLog) and one does the reading and writing; bounded rings join them.
 */
class PolicyService final : public trefoilio::Service
{
public:
  using OnPolicy = std::function<void(std::shared_ptr<const Classifier>)>;
  using Upstreams = std::function<std::vector<UpstreamView>()>;

  explicit PolicyService(PolicyServiceOptions aOptions);
  ~PolicyService() override;

  void Start(trefoilio::Kernel& aKernel) override;
  void Stop() override;
  std::string DumpState() const override;

  /** Called on the policy thread for each new policy; set before Start. */
  void Subscribe(OnPolicy aHook) { mHooks.push_back(std::move(aHook)); }
  /** Tells the upstreams for warnings; set before Start. */
  void SetUpstreams(Upstreams aHook) { mUpstreams = std::move(aHook); }

  /** Never empty; version 0 where there is no policy yet. */
  std::shared_ptr<const Classifier> CurrentClassifier() const;
  uint64_t Version() const { return mVersion; }
  /** There is a policy, or none is known to be set yet. */
  bool Known() const { return mKnown; }
  /** Another process's message carried this version; cheap. */
  void NoteVersion(uint64_t aVersion);
  /** Peer addresses from the host list. */
  void SetPeers(std::vector<std::string> aAddresses);
  /** For a peer that has aAfter. */
  PolicyDelta DeltaAfter(uint64_t aAfter) const;

  /** Waits for the outcome; at most the proposal span and a little. */
  ProposalAnswer Propose(PolicyChange aChange);
  ProposalAnswer QueryChange(std::string aId);
  /** Accepted changes after a version, oldest first; from the table or, in
   * an outage, from memory. */
  std::vector<LoggedChange> History(uint64_t aAfter, size_t aLimit) const;
  /** What the operator of this policy should know of it. */
  std::vector<std::string> Warnings() const;

  /** Answers the operator paths under /v1/policy. */
  trefoilio::HttpReply HandleOperator(const trefoilio::HttpRequest& aRequest);

private:
  struct NewProposal
  {
    PolicyChange mChange;
    std::string mAsksFor; /**< where not empty, a question */
    std::shared_ptr<std::promise<ProposalAnswer>> mPromise;
  };
  struct VersionSeen
  {
    uint64_t mVersion = 0;
  };
  struct RowsRead
  {
    std::optional<std::vector<LogRow>> mRows;
  };
  struct RowInserted
  {
    InsertOutcome mOutcome = InsertOutcome::Unknown;
  };
  struct SnapshotRead
  {
    SnapshotReadResult mFound;
  };
  struct SnapshotStored
  {
    bool mWritten = false;
  };
  struct PeerPulled
  {
    std::optional<PolicyDelta> mDelta;
  };
  using Event = std::variant<NewProposal,
                             VersionSeen,
                             RowsRead,
                             RowInserted,
                             SnapshotRead,
                             SnapshotStored,
                             PeerPulled>;
  struct Decider;
  struct Performer;
  struct Worker;

  void Decide();
  void Work();
  void Perform(PolicyLogActions aActions);
  void Adopt(std::shared_ptr<const Policy> aPolicy);
  ProposalAnswer Wait(NewProposal aProposal);
  std::optional<PolicyDelta> PullFromAny(uint64_t aAfter);

  PolicyServiceOptions mOptions;
  std::unique_ptr<PolicyStore> mStore;
  PolicyPeerClient mPeerClient;
  std::vector<OnPolicy> mHooks;
  Upstreams mUpstreams;

  mutable std::mutex mMutex;
  PolicyLog mLog; /**< under mMutex */
  std::shared_ptr<const Classifier> mClassifier;
  std::vector<std::string> mPeers;
  size_t mNextPeer = 0;

  std::map<uint64_t, std::shared_ptr<std::promise<ProposalAnswer>>> mWaiting;
  uint64_t mLastProposal = 0;
  std::atomic<uint64_t> mVersion{ 0 };
  std::atomic<bool> mKnown{ false };
  std::atomic<uint64_t> mNoted{ 0 };
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<PolicyLogAction> mWork;
  std::thread mDecider;
  std::thread mWorker;
};

} // namespace trefoilarch
