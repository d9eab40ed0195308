#include "router.h"

#include "libtrefoilarch/entrycore.h"
#include "libtrefoilarch/sidecarcore.h"

#include <map>
#include <set>
#include <type_traits>
#include <utility>

namespace replay {

using namespace trefoilarch;

namespace {

constexpr int32_t kOk = 200;

/** One-way delay between an entry and a sidecar. */
constexpr Millis kNetwork{ 1 };
constexpr Millis kConnect{ 3 };
constexpr const char* kModel = "base";

CallerRequest
CallerRequestOf(const RequestId& aId)
{
  return { .mIndex = aId.mLow, .mRetry = aId.mHigh };
}

std::shared_ptr<const Classifier>
ClassifierFor(const Trace& aTrace)
{
  auto policy = std::make_shared<Policy>();
  policy->mVersion = 1;
  for (const RequestClass& requestClass : aTrace.mClasses) {
    policy->mClasses[requestClass.mName] = requestClass;
  }
  for (const TraceRequest& request : aTrace.mRequests) {
    policy->mWorkspaces[request.mWorkspace].mName = request.mWorkspace;
  }
  policy->mSelectors["all"] = { .mName = "all",
                                .mTraffic = {},
                                .mUpstreams = {} };
  return std::make_shared<Classifier>(policy);
}

/** Stands in for the daemons: performs the actions that the library's cores
 * return. */
class SidecarRouter : public Router
{
public:
  SidecarRouter(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
    : mTime(aTime)
    , mTrace(aTrace)
    , mHooks(std::move(aHooks))
    , mClassifier(ClassifierFor(aTrace))
  {
    for (size_t i = 0; i < aTrace.mEngines; ++i) {
      AddSidecar("engine-" + std::to_string(i));
    }
    for (size_t i = 0; i < aTrace.mEntries; ++i) {
      AddEntry("entry-" + std::to_string(i));
    }
  }

  void Submit(CallerRequest aRequest) override
  {
    const TraceRequest& traceRequest = mTrace.mRequests[aRequest.mIndex];
    EntryRequest request;
    request.mId = { .mHigh = aRequest.mRetry, .mLow = aRequest.mIndex };
    request.mClassified = *mClassifier->Classify(
      CallerAttributes{ .mWorkspace = traceRequest.mWorkspace,
                        .mTokenHash = {},
                        .mRequestedClass = traceRequest.mClass,
                        .mLabels = {},
                        .mModel = kModel,
                        .mService = {},
                        .mDataCentre = {},
                        .mDeadline = {},
                        .mIdempotent = traceRequest.mIdempotent });
    request.mCall.mTokenStream = true;
    request.mPromptTokens = traceRequest.mPromptTokens;
    request.mPrefixHash = traceRequest.mPrefix + 1;
    Entry& entry = EntryOf(aRequest);
    RunActions(entry, entry.mCore->OnRequest(std::move(request), mTime.Now()));
  }

  void Abandon(CallerRequest aRequest) override
  {
    Entry& entry = EntryOf(aRequest);
    const RequestId id{ .mHigh = aRequest.mRetry, .mLow = aRequest.mIndex };
    RunActions(entry, entry.mCore->OnCallerLeft(id, mTime.Now()));
  }

  void Apply(const TraceFault& aFault) override
  {
    Sidecar& sidecar =
      *mSidecars.at("engine-" + std::to_string(aFault.mEngine));
    if (aFault.mSlowdown > 0) {
      return sidecar.mEngine->SetSlowdown(aFault.mSlowdown);
    }
    sidecar.mUp = false;
    sidecar.mEngine->Crash();
    for (auto& [name, entry] : mEntries) {
      mTime.After(kNetwork, [this, &entry = *entry, upstream = sidecar.mName] {
        RunActions(entry, entry.mCore->OnChannelDown(upstream, mTime.Now()));
      });
    }
  }

  std::vector<ExecutionCost> Executions() const override
  {
    std::vector<ExecutionCost> costs;
    for (const auto& [name, sidecar] : mSidecars) {
      for (const Execution& execution : sidecar->mEngine->Executions()) {
        const AttemptKey& key = mCalls.at(execution.mId);
        costs.push_back(
          { .mRequest = CallerRequestOf(key.mRequest),
            .mCost = MinCost(execution.mPromptTokens, execution.mOutputTokens),
            .mComplete = mCompletedCalls.count(execution.mId) > 0 });
      }
    }
    return costs;
  }

  std::string Dump() const override
  {
    std::string dump;
    for (const auto& [name, sidecar] : mSidecars) {
      dump += sidecar->mCore->DumpState(mTime.Now()) + "\n";
    }
    return dump;
  }

private:
  struct Sidecar
  {
    UpstreamId mName;
    std::unique_ptr<SidecarCore> mCore;
    std::unique_ptr<VirtualEngine> mEngine;
    std::map<AttemptKey, uint64_t> mRunning;
    bool mUp = true;
    Millis mWakeTime = Millis::Never();
  };

  struct Entry
  {
    EntryId mName;
    std::unique_ptr<EntryCore> mCore;
    Millis mWakeTime = Millis::Never();
  };

  void AddSidecar(const UpstreamId& aName)
  {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->mName = aName;
    sidecar->mCore = std::make_unique<SidecarCore>(
      SidecarOptions{ .mUpstream = aName,
                      .mLabels = { { "model", kModel } },
                      .mIncarnation = 1,
                      .mMaxTokenCapacity = mTrace.mBatch.mMemoryTokens,
                      .mMaxRunning = mTrace.mBatch.mMaxRunning,
                      .mSeed = mTrace.mSeed });
    sidecar->mEngine = std::make_unique<VirtualEngine>(
      mTime,
      mTrace.mBatch,
      [this, &owner = *sidecar](uint64_t aId, bool aLast) {
        OnToken(owner, aId, aLast);
      });
    mSidecars[aName] = std::move(sidecar);
  }

  void AddEntry(const EntryId& aName)
  {
    auto owned = std::make_unique<Entry>();
    Entry& entry = *owned;
    entry.mName = aName;
    entry.mCore = std::make_unique<EntryCore>(
      EntryOptions{ .mEntry = aName, .mSeed = mTrace.mSeed });
    mEntries[aName] = std::move(owned);
    entry.mCore->SetClassifier(mClassifier);
    std::vector<UpstreamView> views;
    for (const auto& [name, sidecar] : mSidecars) {
      views.push_back({ .mName = name,
                        .mDataCentre = {},
                        .mLabels = { { "model", kModel } } });
    }
    RunActions(entry, entry.mCore->SetUpstreams(views, {}, mTime.Now()));
    for (const auto& [name, sidecar] : mSidecars) {
      RunActions(entry, entry.mCore->OnChannelUp(name, mTime.Now()));
    }
  }

  Entry& EntryOf(CallerRequest aRequest)
  {
    const size_t place = aRequest.mIndex % mEntries.size();
    return *std::next(mEntries.begin(), static_cast<ptrdiff_t>(place))->second;
  }

  void RunActions(Entry& aEntry, EntryActions aActions)
  {
    for (EntryAction& action : aActions) {
      std::visit([&](auto& aAction) { Perform(aEntry, aAction); }, action);
    }
    ScheduleWake(aEntry);
  }

  void RunActions(Sidecar& aSidecar, SidecarActions aActions)
  {
    for (SidecarAction& action : aActions) {
      std::visit([&](auto& aAction) { Perform(aSidecar, aAction); }, action);
    }
    ScheduleWake(aSidecar);
  }

  template<typename Node>
  void ScheduleWake(Node& aNode)
  {
    const Millis wake = std::max(aNode.mCore->NextWake(), mTime.Now());
    if (wake >= aNode.mWakeTime || wake >= Millis::Never()) {
      return;
    }
    aNode.mWakeTime = wake;
    mTime.At(wake, [this, &aNode, wake] {
      if (aNode.mWakeTime != wake) {
        return;
      }
      aNode.mWakeTime = Millis::Never();
      if constexpr (std::is_same_v<Node, Sidecar>) {
        if (!aNode.mUp) {
          return;
        }
      }
      RunActions(aNode, aNode.mCore->OnTick(mTime.Now()));
    });
  }

  void Perform(Entry& aEntry, SendToSidecar& aSend)
  {
    Sidecar& sidecar = *mSidecars.at(aSend.mUpstream);
    mTime.After(kNetwork,
                [this,
                 &sidecar,
                 name = aEntry.mName,
                 message = std::move(aSend.mMessage)]() mutable {
                  if (sidecar.mUp) {
                    RunActions(sidecar,
                               sidecar.mCore->OnMessage(
                                 name, std::move(message), mTime.Now()));
                  }
                });
  }

  void Perform(Entry& aEntry, ReopenChannel& aReopen)
  {
    Sidecar& sidecar = *mSidecars.at(aReopen.mUpstream);
    mTime.After(kConnect, [this, &aEntry, &sidecar] {
      if (sidecar.mUp) {
        RunActions(aEntry,
                   aEntry.mCore->OnChannelUp(sidecar.mName, mTime.Now()));
      } else {
        RunActions(aEntry,
                   aEntry.mCore->OnChannelDown(sidecar.mName, mTime.Now()));
      }
    });
  }

  void Perform(Entry&, AnswerHead&) {}

  void Perform(Entry&, AnswerData& aData)
  {
    for (size_t i = 0; i < aData.mData.size(); ++i) {
      mHooks.mOnToken(CallerRequestOf(aData.mId));
    }
  }

  void Perform(Entry&, AnswerEnd& aEnd)
  {
    mHooks.mOnComplete(CallerRequestOf(aEnd.mId));
  }

  void Perform(Entry&, AnswerError& aError)
  {
    mHooks.mOnRefused(CallerRequestOf(aError.mId), aError.mRefusal);
  }

  void Perform(Sidecar& aSidecar, SendToEntry& aSend)
  {
    Entry& entry = *mEntries.at(aSend.mEntry);
    mTime.After(
      kNetwork,
      [this, &aSidecar, &entry, message = std::move(aSend.mMessage)]() mutable {
        if (aSidecar.mUp) {
          RunActions(entry,
                     entry.mCore->OnMessage(
                       aSidecar.mName, std::move(message), mTime.Now()));
        }
      });
  }

  void Perform(Sidecar& aSidecar, StartCall& aStart)
  {
    const TraceRequest& request =
      mTrace.mRequests[CallerRequestOf(aStart.mKey.mRequest).mIndex];
    const uint64_t id = mNextId++;
    mCalls[id] = aStart.mKey;
    aSidecar.mRunning[aStart.mKey] = id;
    aSidecar.mEngine->Start({ .mId = id,
                              .mPriority = aStart.mTier,
                              .mPrefix = request.mPrefix,
                              .mPrefixTokens = request.mPrefixTokens,
                              .mPromptTokens = request.mPromptTokens,
                              .mOutputTokens = request.mOutputTokens });
  }

  void Perform(Sidecar& aSidecar, CancelCall& aCancel)
  {
    const auto found = aSidecar.mRunning.find(aCancel.mKey);
    if (found == aSidecar.mRunning.end()) {
      return;
    }
    aSidecar.mEngine->Cancel(found->second);
    aSidecar.mRunning.erase(found);
  }

  void OnToken(Sidecar& aSidecar, uint64_t aId, bool aLast)
  {
    const AttemptKey key = mCalls.at(aId);
    if (aLast) {
      mCompletedCalls.insert(aId);
      aSidecar.mRunning.erase(key);
    }
    if (mBegunCalls.insert(aId).second) {
      RunActions(aSidecar,
                 aSidecar.mCore->OnCall(CallHead{ .mKey = key, .mStatus = kOk },
                                        mTime.Now()));
    }
    RunActions(
      aSidecar,
      aSidecar.mCore->OnCall(
        CallData{ .mKey = key, .mData = "t", .mTokens = 1 }, mTime.Now()));
    if (aLast) {
      RunActions(aSidecar,
                 aSidecar.mCore->OnCall(CallDone{ .mKey = key }, mTime.Now()));
    }
  }

  VirtualTime& mTime;
  const Trace& mTrace;
  CallerHooks mHooks;
  std::shared_ptr<const Classifier> mClassifier;
  std::map<UpstreamId, std::unique_ptr<Sidecar>> mSidecars;
  std::map<EntryId, std::unique_ptr<Entry>> mEntries;
  std::map<uint64_t, AttemptKey> mCalls;
  std::set<uint64_t> mBegunCalls;
  std::set<uint64_t> mCompletedCalls;
  uint64_t mNextId = 1;
};

} // namespace

std::unique_ptr<Router>
MakeSidecarRouter(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
{
  return std::make_unique<SidecarRouter>(aTime, aTrace, std::move(aHooks));
}

} // namespace replay
