#include "policyservice.h"

#include "policyhttp.h"

#include "libtrefoilarch/policycodec.h"
#include "libtrefoilarch/policywarnings.h"
#include "libtrefoilio/logs.h"
#include "libtrefoilio/metrics.h"
#include "libtrefoilio/systemclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace trefoilarch {

namespace {

constexpr size_t kEventRingCapacity = 256;
constexpr size_t kWorkRingCapacity = 64;
/** Limits how long an idle thread takes to notice a closed ring. */
constexpr Millis kMaxWait{ 500 };
/** How much longer than the log's deadline an operator's call waits. */
constexpr Millis kAnswerSlack{ 1000 };

} // namespace

/** Passes each event to the policy log. */
struct PolicyService::Decider
{
  PolicyService& mService;
  Millis mNow;

  PolicyLogActions operator()(NewProposal& aEvent) const
  {
    const uint64_t number = ++mService.mLastProposalNumber;
    mService.mPendingProposals[number] = aEvent.mPromise;
    const Millis deadline = mNow + mService.mOptions.mProposalTimeout;
    if (!aEvent.mQueriedChangeId.empty()) {
      return mService.mLog.QueryChange(
        number, aEvent.mQueriedChangeId, deadline, mNow);
    }
    return mService.mLog.Propose(
      number, std::move(aEvent.mChange), deadline, mNow);
  }
  PolicyLogActions operator()(const VersionSeen& aEvent) const
  {
    return mService.mLog.OnVersionSeen(aEvent.mVersion, mNow);
  }
  PolicyLogActions operator()(RowsRead& aEvent) const
  {
    return mService.mLog.OnRows(std::move(aEvent.mRows), mNow);
  }
  PolicyLogActions operator()(const RowInserted& aEvent) const
  {
    return mService.mLog.OnInserted(aEvent.mOutcome, mNow);
  }
  PolicyLogActions operator()(SnapshotRead& aEvent) const
  {
    return mService.mLog.OnSnapshot(aEvent.mFound, mNow);
  }
  PolicyLogActions operator()(const SnapshotStored& aEvent) const
  {
    return mService.mLog.OnSnapshotWritten(aEvent.mWritten, mNow);
  }
  PolicyLogActions operator()(PeerPulled& aEvent) const
  {
    return mService.mLog.OnPulled(std::move(aEvent.mDelta), mNow);
  }
};

/** Performs actions on the decision thread; queues I/O for the worker. */
struct PolicyService::Performer
{
  PolicyService& mService;

  void operator()(PolicyAdopted& aAction) const
  {
    mService.Adopt(std::move(aAction.mPolicy));
  }
  void operator()(ProposalAnswered& aAction) const
  {
    const auto found = mService.mPendingProposals.find(aAction.mProposal);
    if (found != mService.mPendingProposals.end()) {
      found->second->set_value(std::move(aAction.mAnswer));
      mService.mPendingProposals.erase(found);
    }
  }
  template<typename T>
  void operator()(T& aAction) const
  {
    mService.mWork.TryPush(std::move(aAction));
  }
};

/** Performs I/O; returns the event that reports its outcome, if any. */
struct PolicyService::Worker
{
  PolicyService& mService;

  std::optional<Event> operator()(const ReadLog& aAction) const
  {
    return RowsRead{ mService.mStore ? mService.mStore->Read(aAction)
                                     : std::nullopt };
  }
  std::optional<Event> operator()(const InsertLogRow& aAction) const
  {
    return RowInserted{ mService.mStore ? mService.mStore->Insert(aAction)
                                        : InsertOutcome::NotSent };
  }
  std::optional<Event> operator()(const ReadSnapshot& /*aAction*/) const
  {
    return SnapshotRead{ mService.mStore ? mService.mStore->NewestSnapshot()
                                         : SnapshotReadResult() };
  }
  std::optional<Event> operator()(const WriteSnapshot& aAction) const
  {
    return SnapshotStored{ mService.mStore && mService.mStore->Write(aAction) };
  }
  std::optional<Event> operator()(const PullFromPeer& aAction) const
  {
    return PeerPulled{ mService.PullFromNextPeer(aAction.mAfter) };
  }
  std::optional<Event> operator()(const CompactLog& aAction) const
  {
    if (mService.mStore) {
      mService.mStore->Compact(aAction);
    }
    return std::nullopt;
  }
  std::optional<Event> operator()(const PolicyAdopted& /*aAction*/) const
  {
    return std::nullopt;
  }
  std::optional<Event> operator()(const ProposalAnswered& /*aAction*/) const
  {
    return std::nullopt;
  }
};

PolicyService::PolicyService(PolicyServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLog(mOptions.mLog)
  , mClassifier(std::make_shared<Classifier>(std::make_shared<Policy>()))
  , mEvents(kEventRingCapacity)
  , mWork(kWorkRingCapacity)
{
  if (mOptions.mPlatform) {
    mStore = std::make_unique<PolicyStore>(mOptions.mPlatform);
  }
}

PolicyService::~PolicyService()
{
  Stop();
}

void
PolicyService::Start(trefoilio::Kernel& /*aKernel*/)
{
  mDecisionThread = std::thread([this] { Decide(); });
  mWorkerThread = std::thread([this] { RunWorker(); });
}

void
PolicyService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mWork.Close();
  for (std::thread* thread : { &mDecisionThread, &mWorkerThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

std::string
PolicyService::DumpState() const
{
  std::lock_guard lock(mMutex);
  return nlohmann::json{
    { "version", mLog.State().Version() },
    { "known", mLog.IsLoaded() },
    { "unreadable_row", mLog.UnreadableRow() },
    { "highest_version_seen", mHighestVersionSeen.load() },
    { "peers", mPeers.size() },
    { "changes_kept", mLog.RecentChanges().size() },
    { "classes", mLog.State().mPolicy->mClasses.size() },
    { "workspaces", mLog.State().mPolicy->mWorkspaces.size() },
    { "selectors", mLog.State().mPolicy->mSelectors.size() },
    { "upstreams", mLog.State().mPolicy->mUpstreams.size() },
  }
    .dump();
}

std::shared_ptr<const Classifier>
PolicyService::CurrentClassifier() const
{
  std::lock_guard lock(mMutex);
  return mClassifier;
}

void
PolicyService::OnRemoteVersion(uint64_t aVersion)
{
  uint64_t highest = mHighestVersionSeen;
  while (aVersion > highest) {
    if (mHighestVersionSeen.compare_exchange_weak(highest, aVersion)) {
      mEvents.TryPush(VersionSeen{ aVersion });
      return;
    }
  }
}

void
PolicyService::SetPeers(std::vector<std::string> aAddresses)
{
  std::erase(aAddresses, mOptions.mOwnPeerAddress);
  std::lock_guard lock(mMutex);
  mPeers = std::move(aAddresses);
  mLog.SetPeerCount(mPeers.size());
}

PolicyDelta
PolicyService::DeltaAfter(uint64_t aAfter) const
{
  std::lock_guard lock(mMutex);
  return mLog.DeltaAfter(aAfter);
}

ProposalAnswer
PolicyService::Propose(PolicyChange aChange)
{
  aChange.mUnixSeconds = trefoilio::UnixSeconds();
  NewProposal proposal;
  proposal.mChange = std::move(aChange);
  return Wait(std::move(proposal));
}

ProposalAnswer
PolicyService::QueryChange(std::string aId)
{
  NewProposal proposal;
  proposal.mQueriedChangeId = std::move(aId);
  return Wait(std::move(proposal));
}

ProposalAnswer
PolicyService::Wait(NewProposal aProposal)
{
  auto promise = std::make_shared<std::promise<ProposalAnswer>>();
  std::future<ProposalAnswer> answer = promise->get_future();
  aProposal.mPromise = std::move(promise);
  if (!mEvents.TryPush(std::move(aProposal))) {
    return {};
  }
  const Millis timeout = mOptions.mProposalTimeout + kAnswerSlack;
  const auto wait = std::chrono::milliseconds(timeout.Count());
  if (answer.wait_for(wait) != std::future_status::ready) {
    ProposalAnswer unknown;
    unknown.mOutcome = ProposalOutcome::Unknown;
    return unknown;
  }
  return answer.get();
}

std::vector<LoggedChange>
PolicyService::History(uint64_t aAfter, size_t aLimit) const
{
  std::vector<LoggedChange> changes;
  if (mStore) {
    const auto rows = mStore->Read({ aAfter, aLimit });
    for (const LogRow& row : rows.value_or(std::vector<LogRow>())) {
      changes.push_back({ row.mVersion, ChangeFromJson(row.mText).mValue });
    }
  }
  if (!changes.empty()) {
    return changes;
  }
  std::lock_guard lock(mMutex);
  for (const LoggedChange& logged : mLog.RecentChanges()) {
    if (logged.mVersion > aAfter && changes.size() < aLimit) {
      changes.push_back(logged);
    }
  }
  return changes;
}

std::vector<std::string>
PolicyService::Warnings() const
{
  const std::vector<UpstreamView> upstreams =
    mUpstreams ? mUpstreams() : std::vector<UpstreamView>();
  return PolicyWarnings(CurrentClassifier()->CurrentPolicy(), upstreams);
}

trefoilio::HttpReply
PolicyService::HandleOperator(const trefoilio::HttpRequest& aRequest)
{
  return HandlePolicyHttp(*this, aRequest);
}

void
PolicyService::Decide()
{
  while (!mStopping) {
    Millis wait;
    {
      std::lock_guard lock(mMutex);
      wait = mLog.NextWake() - trefoilio::MonotonicNow();
    }
    std::optional<Event> event =
      mEvents.PopFor(std::clamp(wait, Millis(0), kMaxWait));
    PolicyLogActions actions;
    {
      std::lock_guard lock(mMutex);
      const Millis now = trefoilio::MonotonicNow();
      actions =
        event ? std::visit(Decider{ *this, now }, *event) : mLog.OnTick(now);
      mLoaded = mLog.IsLoaded();
    }
    Perform(std::move(actions));
  }
}

void
PolicyService::Perform(PolicyLogActions aActions)
{
  for (PolicyLogAction& action : aActions) {
    std::visit(Performer{ *this }, action);
  }
}

void
PolicyService::Adopt(std::shared_ptr<const Policy> aPolicy)
{
  const uint64_t version = aPolicy->mVersion;
  auto classifier = std::make_shared<const Classifier>(std::move(aPolicy));
  {
    std::lock_guard lock(mMutex);
    mClassifier = classifier;
  }
  mVersion = version;
  trefoilio::LogState(trefoilio::LogLevel::Info,
                      "policy_adopted",
                      { { "version", std::to_string(version) } });
  if (mOptions.mMetrics != nullptr) {
    mOptions.mMetrics->Count("policy_adopted_total");
    mOptions.mMetrics->SetGauge("policy_version", static_cast<double>(version));
  }
  for (const OnPolicy& hook : mHooks) {
    hook(classifier);
  }
}

void
PolicyService::RunWorker()
{
  while (!mStopping) {
    std::optional<PolicyLogAction> action = mWork.PopFor(kMaxWait);
    if (!action) {
      continue;
    }
    std::optional<Event> event = std::visit(Worker{ *this }, *action);
    if (event) {
      mEvents.Push(std::move(*event));
    }
  }
}

std::optional<PolicyDelta>
PolicyService::PullFromNextPeer(uint64_t aAfter)
{
  std::string address;
  {
    std::lock_guard lock(mMutex);
    if (mPeers.empty()) {
      return std::nullopt;
    }
    address = mPeers[mNextPeer++ % mPeers.size()];
  }
  return mPeerClient.Pull(address, aAfter, mOptions.mPullTimeout);
}

} // namespace trefoilarch
