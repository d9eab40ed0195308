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

constexpr size_t kEventRing = 256;
constexpr size_t kWorkRing = 64;
/** So that a closed ring is noticed where nothing else happens. */
constexpr Millis kLongestWait{ 500 };
/** What an operator waits longer than the core may take to answer. */
constexpr Millis kAnswerSlack{ 1000 };

} // namespace

/** Hands each event to the log. */
struct PolicyService::Decider
{
  PolicyService& mService;
  Millis mNow;

  PolicyLogActions operator()(NewProposal& aOne) const
  {
    const uint64_t number = ++mService.mLastProposal;
    mService.mWaiting[number] = aOne.mPromise;
    const Millis deadline = mNow + mService.mOptions.mProposalSpan;
    if (!aOne.mAsksFor.empty()) {
      return mService.mLog.QueryChange(number, aOne.mAsksFor, deadline, mNow);
    }
    return mService.mLog.Propose(
      number, std::move(aOne.mChange), deadline, mNow);
  }
  PolicyLogActions operator()(const VersionSeen& aOne) const
  {
    return mService.mLog.OnVersionSeen(aOne.mVersion, mNow);
  }
  PolicyLogActions operator()(RowsRead& aOne) const
  {
    return mService.mLog.OnRows(std::move(aOne.mRows), mNow);
  }
  PolicyLogActions operator()(const RowInserted& aOne) const
  {
    return mService.mLog.OnInserted(aOne.mOutcome, mNow);
  }
  PolicyLogActions operator()(SnapshotRead& aOne) const
  {
    return mService.mLog.OnSnapshot(aOne.mFound, mNow);
  }
  PolicyLogActions operator()(const SnapshotStored& aOne) const
  {
    return mService.mLog.OnSnapshotWritten(aOne.mWritten, mNow);
  }
  PolicyLogActions operator()(PeerPulled& aOne) const
  {
    return mService.mLog.OnPulled(std::move(aOne.mDelta), mNow);
  }
};

/** Carries out what the deciding thread can, and passes on the rest. */
struct PolicyService::Performer
{
  PolicyService& mService;

  void operator()(PolicyAdopted& aOne) const
  {
    mService.Adopt(std::move(aOne.mPolicy));
  }
  void operator()(ProposalAnswered& aOne) const
  {
    const auto place = mService.mWaiting.find(aOne.mProposal);
    if (place != mService.mWaiting.end()) {
      place->second->set_value(std::move(aOne.mAnswer));
      mService.mWaiting.erase(place);
    }
  }
  template<typename T>
  void operator()(T& aOne) const
  {
    mService.mWork.TryPush(std::move(aOne));
  }
};

/** Reads and writes; gives back the event that reports the end. */
struct PolicyService::Worker
{
  PolicyService& mService;

  std::optional<Event> operator()(const ReadLog& aOne) const
  {
    return RowsRead{ mService.mStore ? mService.mStore->Read(aOne)
                                     : std::nullopt };
  }
  std::optional<Event> operator()(const InsertLogRow& aOne) const
  {
    return RowInserted{ mService.mStore ? mService.mStore->Insert(aOne)
                                        : InsertOutcome::NotSent };
  }
  std::optional<Event> operator()(const ReadSnapshot& /*aOne*/) const
  {
    return SnapshotRead{ mService.mStore ? mService.mStore->NewestSnapshot()
                                         : SnapshotReadResult() };
  }
  std::optional<Event> operator()(const WriteSnapshot& aOne) const
  {
    return SnapshotStored{ mService.mStore && mService.mStore->Write(aOne) };
  }
  std::optional<Event> operator()(const PullFromPeer& aOne) const
  {
    return PeerPulled{ mService.PullFromAny(aOne.mAfter) };
  }
  std::optional<Event> operator()(const CompactLog& aOne) const
  {
    if (mService.mStore) {
      mService.mStore->Compact(aOne);
    }
    return std::nullopt;
  }
  std::optional<Event> operator()(const PolicyAdopted& /*aOne*/) const
  {
    return std::nullopt;
  }
  std::optional<Event> operator()(const ProposalAnswered& /*aOne*/) const
  {
    return std::nullopt;
  }
};

PolicyService::PolicyService(PolicyServiceOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLog(mOptions.mLog)
  , mClassifier(std::make_shared<Classifier>(std::make_shared<Policy>()))
  , mEvents(kEventRing)
  , mWork(kWorkRing)
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
  mDecider = std::thread([this] { Decide(); });
  mWorker = std::thread([this] { Work(); });
}

void
PolicyService::Stop()
{
  mStopping = true;
  mEvents.Close();
  mWork.Close();
  for (std::thread* thread : { &mDecider, &mWorker }) {
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
    { "highest_version_seen", mNoted.load() },
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
PolicyService::NoteVersion(uint64_t aVersion)
{
  uint64_t noted = mNoted;
  while (aVersion > noted) {
    if (mNoted.compare_exchange_weak(noted, aVersion)) {
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
  proposal.mAsksFor = std::move(aId);
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
  const Millis span = mOptions.mProposalSpan + kAnswerSlack;
  const auto wait = std::chrono::milliseconds(span.Count());
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
      mEvents.PopFor(std::clamp(wait, Millis(0), kLongestWait));
    PolicyLogActions actions;
    {
      std::lock_guard lock(mMutex);
      const Millis now = trefoilio::MonotonicNow();
      actions =
        event ? std::visit(Decider{ *this, now }, *event) : mLog.OnTick(now);
      mKnown = mLog.IsLoaded();
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
PolicyService::Work()
{
  while (!mStopping) {
    std::optional<PolicyLogAction> action = mWork.PopFor(kLongestWait);
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
PolicyService::PullFromAny(uint64_t aAfter)
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
