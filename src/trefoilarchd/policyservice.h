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
  /** Null if there is no platform; the policy then stays empty. */
  std::shared_ptr<const PlatformClient> mPlatform;
  /** This process's own peer address, which is excluded from pulls. */
  std::string mOwnPeerAddress;
  PolicyLogOptions mLog;
  /** The time after which an operator's change is reported as "unknown". */
  Millis mProposalTimeout{ 8000 };
  Millis mPullTimeout{ 1500 };
  trefoilio::Metrics* mMetrics = nullptr;
};

/**
 * Keeps this process's policy up to date from the change log. One thread runs
 * the decision logic (PolicyLog), one reads and writes; bounded rings connect
 * them.
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

  /** Adds a hook that the policy thread calls for each new policy; call
   * before Start. */
  void Subscribe(OnPolicy aHook) { mHooks.push_back(std::move(aHook)); }
  /** Sets the source of upstreams for warnings; call before Start. */
  void SetUpstreams(Upstreams aHook) { mUpstreams = std::move(aHook); }

  /** Returns the current classifier, never null; version 0: no policy yet. */
  std::shared_ptr<const Classifier> CurrentClassifier() const;
  uint64_t Version() const { return mVersion; }
  /** Whether the policy is loaded, or the log is known to be empty. */
  bool IsLoaded() const { return mLoaded; }
  /** Reports a version that another process's message carried; cheap. */
  void OnRemoteVersion(uint64_t aVersion);
  /** Sets the peer addresses from the host list. */
  void SetPeers(std::vector<std::string> aAddresses);
  /** Returns the changes for a peer that has version aAfter. */
  PolicyDelta DeltaAfter(uint64_t aAfter) const;

  /** Waits for the outcome, at most the proposal timeout plus kAnswerSlack. */
  ProposalAnswer Propose(PolicyChange aChange);
  ProposalAnswer QueryChange(std::string aId);
  /** Returns accepted changes after a version, oldest first, from the table
   * or, in an outage, from memory. */
  std::vector<LoggedChange> History(uint64_t aAfter, size_t aLimit) const;
  /** Returns warnings about the policy for its operator. */
  std::vector<std::string> Warnings() const;

  /** Handles the operator paths under /v1/policy. */
  trefoilio::HttpReply HandleOperator(const trefoilio::HttpRequest& aRequest);

private:
  struct NewProposal
  {
    PolicyChange mChange;
    std::string mQueriedChangeId; /**< if not empty, this is a query */
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
  void RunWorker();
  void Perform(PolicyLogActions aActions);
  void Adopt(std::shared_ptr<const Policy> aPolicy);
  ProposalAnswer Wait(NewProposal aProposal);
  std::optional<PolicyDelta> PullFromNextPeer(uint64_t aAfter);

  PolicyServiceOptions mOptions;
  std::unique_ptr<PolicyStore> mStore;
  PolicyPeerClient mPeerClient;
  std::vector<OnPolicy> mHooks;
  Upstreams mUpstreams;

  mutable std::mutex mMutex;
  PolicyLog mLog; /**< guarded by mMutex */
  std::shared_ptr<const Classifier> mClassifier;
  std::vector<std::string> mPeers;
  size_t mNextPeer = 0;

  std::map<uint64_t, std::shared_ptr<std::promise<ProposalAnswer>>>
    mPendingProposals;
  uint64_t mLastProposalNumber = 0;
  std::atomic<uint64_t> mVersion{ 0 };
  std::atomic<bool> mLoaded{ false };
  std::atomic<uint64_t> mHighestVersionSeen{ 0 };
  std::atomic<bool> mStopping{ false };

  trefoilio::BoundedRing<Event> mEvents;
  trefoilio::BoundedRing<PolicyLogAction> mWork;
  std::thread mDecisionThread;
  std::thread mWorkerThread;
};

} // namespace trefoilarch
