#include "router.h"

#include "libtrefoilarch/requestplan.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace replay {

using namespace trefoilarch;

namespace {

/** One-way delay between an entry and an engine. */
constexpr Millis kNetwork{ 1 };
/** Time until a lost host is removed from the directory. */
constexpr Millis kHostLossDetectionDelay{ 1000 };
constexpr const char* kHost = "h";
constexpr const char* kService = "engines";
constexpr uint32_t kMaxAttempts = 3;
constexpr int kOk = 200;
/** Segment ids of unshared prompt text start here, above the prefix ids. */
constexpr uint64_t kOwnSegmentIds = uint64_t{ 1 } << 40;

std::string
PathOf(const std::string& aClass, bool aIdempotent)
{
  std::string path = "/";
  path += aClass;
  path += aIdempotent ? "/again/" : "/once/";
  return path;
}

Route
RouteFor(const RequestClass& aClass, bool aIdempotent)
{
  Route route{ .mName = aClass.mName + (aIdempotent ? "" : "-once"),
               .mHost = kHost };
  route.mPathPrefix = PathOf(aClass.mName, aIdempotent);
  route.mRetryMode =
    aIdempotent ? RetryMode::Idempotent : RetryMode::AtMostOnce;
  route.mStream = true;
  route.mTimeout = aClass.mDeadline;
  route.mFirstTokenTarget = aClass.mFirstTokenTarget;
  route.mGapTarget = aClass.mBetweenTokenTarget * 5;
  route.mPriority = aClass.mTier;
  route.mTargets = { { .mService = kService } };
  route.mMaxAttempts = kMaxAttempts;
  route.mPublic = true;
  return route;
}

std::shared_ptr<const RoutePolicy>
PolicyFor(const Trace& aTrace)
{
  RoutePolicy policy{ .mVersion = 1 };
  for (const RequestClass& requestClass : aTrace.mClasses) {
    policy.mRoutes.push_back(RouteFor(requestClass, true));
    policy.mRoutes.push_back(RouteFor(requestClass, false));
  }
  policy.mServices[kService] = {
    .mName = kService,
    .mMaxConnections = 10000,
    .mEngine =
      EngineTraits{ .mSlots = static_cast<uint32_t>(aTrace.mBatch.mMaxRunning),
                    .mMemoryTokens = aTrace.mBatch.mMemoryTokens }
  };
  return std::make_shared<const RoutePolicy>(std::move(policy));
}

std::string
NameOf(size_t aEngine)
{
  return "engine-" + std::to_string(aEngine);
}

/** A prompt segment for the shared prefix and one for the unshared rest. */
PromptShape
PromptOf(const TraceRequest& aRequest, size_t aIndex)
{
  PromptShape prompt{ .mModel = "base",
                      .mPromptTokens = aRequest.mPromptTokens,
                      .mMaxOutput = aRequest.mOutputTokens * 2,
                      .mExpectedOutput = aRequest.mOutputTokens };
  prompt.mSegments = {
    { .mId = aRequest.mPrefix + 1, .mTokens = aRequest.mPrefixTokens },
    { .mId = kOwnSegmentIds + aIndex,
      .mTokens = aRequest.mPromptTokens - aRequest.mPrefixTokens }
  };
  return prompt;
}

/** Stands in for the gateway: performs the steps of the library's plans. */
class GateRouter : public Router
{
public:
  GateRouter(VirtualTime& aTime,
             const Trace& aTrace,
             CallerHooks aHooks,
             const GateRouterOptions& aOptions)
    : mTime(aTime)
    , mSendsPeerUpdates(aOptions.mSendsPeerUpdates)
    , mMaxUpdatedPeers(aOptions.mMaxUpdatedPeers)
    , mPeerUpdateInterval(aOptions.mPeerUpdateInterval)
    , mTrace(aTrace)
    , mHooks(std::move(aHooks))
    , mEngines(aTrace.mEngines)
  {
    for (Engine& engine : mEngines) {
      engine.mVirtualEngine = std::make_unique<VirtualEngine>(
        aTime, aTrace.mBatch, [this](uint64_t aId, bool aLast) {
          OnToken(aId, aLast);
        });
    }
    for (size_t index = 0; index < aTrace.mEntries; ++index) {
      AddEntry(aOptions, index);
    }
  }

  void Submit(CallerRequest aRequest) override
  {
    const TraceRequest& traceRequest = mTrace.mRequests[aRequest.mIndex];
    DirectRouter& router = RouterOf(aRequest);
    const Millis now = mTime.Now();
    const std::string path =
      PathOf(traceRequest.mClass, traceRequest.mIdempotent);
    const RequestAttributes attributes{
      .mHost = kHost,
      .mPath = path,
      .mArrivedAt = now,
      .mCallerTimeout = mTrace.ClassOf(traceRequest).mDeadline,
      .mPrompt = PromptOf(traceRequest, aRequest.mIndex)
    };
    router.ConfirmPolicy(now);
    boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(bound, router.Bind(attributes, now));
        Begin(aRequest, RequestPlan(router, std::move(bound)));
        return {};
      },
      [&](const Refusal& aRefusal) { mHooks.mOnRefused(aRequest, aRefusal); },
      [] {});
  }

  void Abandon(CallerRequest aRequest) override
  {
    const auto found = mOpen.find(aRequest);
    if (found == mOpen.end()) {
      return;
    }
    EndAttempt(*found->second, AttemptOutcome::Withdrawn);
    mOpen.erase(found);
  }

  void Apply(const TraceFault& aFault) override
  {
    Engine& engine = mEngines[aFault.mEngine];
    if (aFault.mSlowdown > 0) {
      return engine.mVirtualEngine->SetSlowdown(aFault.mSlowdown);
    }
    engine.mUp = false;
    engine.mVirtualEngine->Crash();
    for (const auto& [id, call] : mCalls) {
      if (call.mEngine == aFault.mEngine && !call.mFinished) {
        mTime.After(kNetwork, [this, lostCall = id] { OnBroken(lostCall); });
      }
    }
    mTime.After(kHostLossDetectionDelay, [this, lost = NameOf(aFault.mEngine)] {
      for (const auto& router : mRouters) {
        router->Directory().Remove(lost, mTime.Now());
        router->OnDirectoryChanged(mTime.Now());
      }
    });
  }

  std::vector<ExecutionCost> Executions() const override
  {
    std::vector<ExecutionCost> costs;
    for (const Engine& engine : mEngines) {
      for (const Execution& execution : engine.mVirtualEngine->Executions()) {
        const Call& call = mCalls.at(execution.mId);
        costs.push_back(
          { .mRequest = call.mRequest,
            .mCost = MinCost(execution.mPromptTokens, execution.mOutputTokens),
            .mComplete = call.mComplete });
      }
    }
    return costs;
  }

  uint64_t PrefilledTokens() const override
  {
    uint64_t tokens = 0;
    for (const Engine& engine : mEngines) {
      tokens += engine.mVirtualEngine->PrefilledTokens();
    }
    return tokens;
  }

private:
  struct Engine
  {
    std::unique_ptr<VirtualEngine> mVirtualEngine;
    bool mUp = true;
  };

  /** A caller's request that has not ended. */
  struct OpenRequest
  {
    CallerRequest mRequest;
    RequestPlan mPlan;
    std::optional<PlacedAttempt> mAttempt{};
    uint64_t mCall = 0;
    bool mResponseStarted = false;
  };

  /** One attempt at an engine. */
  struct Call
  {
    CallerRequest mRequest{};
    size_t mEngine = 0;
    /** The engine from which cached prompt blocks are to be fetched. */
    std::optional<size_t> mHolder{};
    bool mFinished = false;
    bool mComplete = false;
  };

  void AddEntry(const GateRouterOptions& aOptions, size_t aIndex)
  {
    mRouters.push_back(std::make_unique<DirectRouter>(
      DirectRouterOptions{ .mDataCentre = "here",
                           .mName = "entry-" + std::to_string(aIndex),
                           .mPlacementCost = aOptions.mPlacementCost,
                           .mSeed = mTrace.mSeed + aIndex }));
    DirectRouter& router = *mRouters.back();
    router.SetPolicy(PolicyFor(mTrace));
    router.SetEntries(mTrace.mEntries);
    for (size_t engine = 0; engine < mEngines.size(); ++engine) {
      router.Directory().Put(
        { .mId = NameOf(engine),
          .mService = kService,
          .mAddress = std::to_string(engine),
          .mDataCentre = "here",
          .mSlots = static_cast<uint32_t>(mTrace.mBatch.mMaxRunning) });
    }
    router.OnDirectoryChanged(mTime.Now());
  }

  DirectRouter& RouterOf(CallerRequest aRequest)
  {
    return *mRouters[aRequest.mIndex % mRouters.size()];
  }

  void Begin(CallerRequest aRequest, RequestPlan aPlan)
  {
    const auto [place, fresh] =
      mOpen.emplace(aRequest,
                    std::make_unique<OpenRequest>(OpenRequest{
                      .mRequest = aRequest, .mPlan = std::move(aPlan) }));
    OpenRequest& open = *place->second;
    Perform(open, open.mPlan.Begin(mTime.Now()));
  }

  void Perform(OpenRequest& aOpen, const PlanStep& aStep)
  {
    if (const auto* send = std::get_if<SendRequest>(&aStep)) {
      return Send(aOpen, send->mAttempt);
    }
    Refusal refusal{ .mKind = ErrorKind::AnswerCut, .mRan = Ran::Maybe };
    if (const auto* answer = std::get_if<AnswerRefusal>(&aStep)) {
      refusal = answer->mRefusal;
    }
    const CallerRequest request = aOpen.mRequest;
    mOpen.erase(request);
    mHooks.mOnRefused(request, refusal);
  }

  void Send(OpenRequest& aOpen, const PlacedAttempt& aAttempt)
  {
    const uint64_t id = mNextId++;
    const size_t engine = std::stoul(aAttempt.mAddress);
    mCalls[id] = { .mRequest = aOpen.mRequest, .mEngine = engine };
    if (!aAttempt.mHolderAddress.empty()) {
      mCalls[id].mHolder = std::stoul(aAttempt.mHolderAddress);
    }
    aOpen.mAttempt = aAttempt;
    aOpen.mCall = id;
    aOpen.mPlan.OnSending();
    mTime.After(kNetwork, [this, id] { Start(id); });
    SchedulePeerUpdate(RouterOf(aOpen.mRequest));
  }

  void Start(uint64_t aId)
  {
    const Call& call = mCalls.at(aId);
    if (!mEngines[call.mEngine].mUp) {
      mTime.After(kNetwork, [this, aId] { OnUnreachable(aId); });
      return;
    }
    if (call.mFinished) {
      return;
    }
    const TraceRequest& request = mTrace.mRequests[call.mRequest.mIndex];
    const EngineCall sent{ .mId = aId,
                           .mPriority = mTrace.ClassOf(request).mTier,
                           .mPrefix = request.mPrefix,
                           .mPrefixTokens = request.mPrefixTokens,
                           .mPromptTokens = request.mPromptTokens,
                           .mOutputTokens = request.mOutputTokens };
    VirtualEngine& engine = *mEngines[call.mEngine].mVirtualEngine;
    if (call.mHolder && mEngines[*call.mHolder].mUp) {
      engine.StartWithPrefixFrom(sent, *mEngines[*call.mHolder].mVirtualEngine);
    } else {
      engine.Start(sent);
    }
  }

  /** The open request whose latest attempt is this call, or null. */
  OpenRequest* CurrentRequestOf(uint64_t aId)
  {
    const auto found = mOpen.find(mCalls.at(aId).mRequest);
    return found == mOpen.end() || found->second->mCall != aId
             ? nullptr
             : found->second.get();
  }

  void OnToken(uint64_t aId, bool aLast)
  {
    Call& call = mCalls.at(aId);
    call.mComplete = aLast;
    call.mFinished = call.mFinished || aLast;
    const VirtualEngine& engine = *mEngines[call.mEngine].mVirtualEngine;
    const ReportedLoad load{
      .mRunning = static_cast<uint32_t>(engine.Running()),
      .mWaiting = static_cast<uint32_t>(engine.Waiting()),
      .mSlots = static_cast<uint32_t>(mTrace.mBatch.mMaxRunning)
    };
    mTime.After(kNetwork, [this, aId, aLast, load] {
      OnTokenReceived(aId, aLast, load);
    });
  }

  void OnTokenReceived(uint64_t aId, bool aLast, const ReportedLoad& aLoad)
  {
    OpenRequest* open = CurrentRequestOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    const Millis now = mTime.Now();
    DirectRouter& router = RouterOf(open->mRequest);
    router.OnBytesReceived(*open->mAttempt, now);
    if (!open->mResponseStarted) {
      open->mResponseStarted = true;
      router.OnReport(*open->mAttempt, aLoad, now);
      open->mPlan.OnHead(kOk, now);
      open->mPlan.OnAnswerBegun(now);
    }
    router.OnStarted(*open->mAttempt, now);
    SchedulePeerUpdate(router);
    const CallerRequest request = open->mRequest;
    mHooks.mOnToken(request);
    if (!aLast) {
      return;
    }
    router.OnEnded(*open->mAttempt, AttemptOutcome::Good, now);
    mOpen.erase(request);
    mHooks.mOnComplete(request);
  }

  void OnUnreachable(uint64_t aId)
  {
    OpenRequest* open = CurrentRequestOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    EndAttempt(*open, AttemptOutcome::Unreachable);
    Perform(*open, open->mPlan.OnUnreachable(mTime.Now()));
  }

  void OnBroken(uint64_t aId)
  {
    OpenRequest* open = CurrentRequestOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    EndAttempt(*open, AttemptOutcome::Broken);
    Perform(*open, open->mPlan.OnBroken(false, mTime.Now()));
  }

  /** Reports the attempt's end to its router and cancels it at its engine. */
  void EndAttempt(OpenRequest& aOpen, AttemptOutcome aOutcome)
  {
    if (!aOpen.mAttempt) {
      return;
    }
    RouterOf(aOpen.mRequest).OnEnded(*aOpen.mAttempt, aOutcome, mTime.Now());
    aOpen.mAttempt.reset();
    mCalls.at(aOpen.mCall).mFinished = true;
    mTime.After(kNetwork, [this, id = aOpen.mCall] {
      mEngines[mCalls.at(id).mEngine].mVirtualEngine->Cancel(id);
    });
  }

  /** The next entries in the ring, to which this one sends its updates. */
  std::vector<DirectRouter*> PeersOf(const DirectRouter& aRouter) const
  {
    const size_t all = mRouters.size();
    const auto own =
      std::find_if(mRouters.begin(), mRouters.end(), [&](const auto& aOther) {
        return aOther.get() == &aRouter;
      });
    const auto first = static_cast<size_t>(own - mRouters.begin());
    std::vector<DirectRouter*> peers;
    for (size_t index = 1; index < all && peers.size() < mMaxUpdatedPeers;
         ++index) {
      peers.push_back(mRouters[(first + index) % all].get());
    }
    return peers;
  }

  /** Sends this entry's pending changes to its peers after the interval. */
  void SchedulePeerUpdate(DirectRouter& aRouter)
  {
    if (!mSendsPeerUpdates || !aRouter.HasPeerUpdate() ||
        !mPendingPeerUpdates.insert(&aRouter).second) {
      return;
    }
    mTime.After(mPeerUpdateInterval, [this, from = &aRouter] {
      mPendingPeerUpdates.erase(from);
      const PeerUpdate update = from->TakePeerUpdate(mTime.Now());
      for (DirectRouter* router : PeersOf(*from)) {
        router->OnPeerUpdate(update, mTime.Now());
      }
    });
  }

  VirtualTime& mTime;
  bool mSendsPeerUpdates = false;
  size_t mMaxUpdatedPeers;
  Millis mPeerUpdateInterval;
  std::set<DirectRouter*> mPendingPeerUpdates;
  const Trace& mTrace;
  CallerHooks mHooks;
  std::vector<Engine> mEngines;
  std::vector<std::unique_ptr<DirectRouter>> mRouters;
  std::map<uint64_t, Call> mCalls;
  std::map<CallerRequest, std::unique_ptr<OpenRequest>> mOpen;
  uint64_t mNextId = 1;
};

} // namespace

std::unique_ptr<Router>
MakeGateRouter(VirtualTime& aTime,
               const Trace& aTrace,
               CallerHooks aHooks,
               const GateRouterOptions& aOptions)
{
  return std::make_unique<GateRouter>(
    aTime, aTrace, std::move(aHooks), aOptions);
}

} // namespace replay
