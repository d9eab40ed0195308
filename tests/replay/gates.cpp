#include "router.h"

#include "libtrefoilarch/requestplan.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace replay {

using namespace trefoilarch;

namespace {

/** One way between an entry and an engine. */
constexpr Millis kNetwork{ 1 };
/** The list tells of a lost host after this. */
constexpr Millis kNoticeLoss{ 1000 };
constexpr const char* kHost = "h";
constexpr const char* kService = "engines";
constexpr uint32_t kMostAttempts = 3;
constexpr int kOk = 200;
/** Ids of a request's own part of its prompt are above those of prefixes. */
constexpr uint64_t kOwnParts = uint64_t{ 1 } << 40;

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
  route.mMaxAttempts = kMostAttempts;
  route.mPublic = true;
  return route;
}

std::shared_ptr<const RoutePolicy>
PolicyFor(const Trace& aTrace)
{
  RoutePolicy policy{ .mVersion = 1 };
  for (const RequestClass& each : aTrace.mClasses) {
    policy.mRoutes.push_back(RouteFor(each, true));
    policy.mRoutes.push_back(RouteFor(each, false));
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

/** A request's shared prefix, and what is its own. */
PromptShape
PromptOf(const TraceRequest& aRequest, size_t aIndex)
{
  PromptShape prompt{ .mModel = "base",
                      .mPromptTokens = aRequest.mPromptTokens,
                      .mMaxOutput = aRequest.mOutputTokens * 2,
                      .mExpectedOutput = aRequest.mOutputTokens };
  prompt.mSegments = {
    { .mId = aRequest.mPrefix + 1, .mTokens = aRequest.mPrefixTokens },
    { .mId = kOwnParts + aIndex,
      .mTokens = aRequest.mPromptTokens - aRequest.mPrefixTokens }
  };
  return prompt;
}

/** The gateway's part: carries out what the library's plans say. */
class Gates : public Router
{
public:
  Gates(VirtualTime& aTime,
        const Trace& aTrace,
        CallerHooks aHooks,
        const GatesOptions& aOptions)
    : mTime(aTime)
    , mPeers(aOptions.mPeers)
    , mMostTold(aOptions.mMostTold)
    , mTellSpan(aOptions.mTellSpan)
    , mTrace(aTrace)
    , mHooks(std::move(aHooks))
    , mEngines(aTrace.mEngines)
  {
    for (Engine& engine : mEngines) {
      engine.mModel = std::make_unique<VirtualEngine>(
        aTime, aTrace.mBatch, [this](uint64_t aId, bool aLast) {
          OnToken(aId, aLast);
        });
    }
    for (size_t each = 0; each < aTrace.mEntries; ++each) {
      AddEntry(aOptions, each);
    }
  }

  void Submit(CallerRequest aRequest) override
  {
    const TraceRequest& asked = mTrace.mRequests[aRequest.mIndex];
    DirectRouter& router = RouterOf(aRequest);
    const Millis now = mTime.Now();
    const std::string path = PathOf(asked.mClass, asked.mIdempotent);
    const RequestAttributes facts{ .mHost = kHost,
                                   .mPath = path,
                                   .mArrivedAt = now,
                                   .mCallerTimeout =
                                     mTrace.ClassOf(asked).mDeadline,
                                   .mPrompt =
                                     PromptOf(asked, aRequest.mIndex) };
    router.ConfirmPolicy(now);
    boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(bound, router.Bind(facts, now));
        Begin(aRequest, RequestPlan(router, std::move(bound)));
        return {};
      },
      [&](const Refusal& aRefusal) { mHooks.mOnRefused(aRequest, aRefusal); },
      [] {});
  }

  void Leave(CallerRequest aRequest) override
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
    if (aFault.mSlow > 0) {
      return engine.mModel->SetSlow(aFault.mSlow);
    }
    engine.mUp = false;
    engine.mModel->Crash();
    for (const auto& [id, call] : mCalls) {
      if (call.mEngine == aFault.mEngine && !call.mOver) {
        mTime.After(kNetwork, [this, broken = id] { OnBroken(broken); });
      }
    }
    mTime.After(kNoticeLoss, [this, lost = NameOf(aFault.mEngine)] {
      for (const auto& router : mRouters) {
        router->Directory().Remove(lost, mTime.Now());
        router->OnDirectoryChanged(mTime.Now());
      }
    });
  }

  std::vector<Spent> Executions() const override
  {
    std::vector<Spent> spent;
    for (const Engine& engine : mEngines) {
      for (const Execution& execution : engine.mModel->Executions()) {
        const Call& call = mCalls.at(execution.mId);
        spent.push_back({ .mRequest = call.mRequest,
                          .mCost = LeastCost(execution.mPromptTokens,
                                             execution.mOutputTokens),
                          .mWhole = call.mWhole });
      }
    }
    return spent;
  }

  uint64_t PrefilledTokens() const override
  {
    uint64_t tokens = 0;
    for (const Engine& engine : mEngines) {
      tokens += engine.mModel->PrefilledTokens();
    }
    return tokens;
  }

private:
  struct Engine
  {
    std::unique_ptr<VirtualEngine> mModel;
    bool mUp = true;
  };

  /** A caller's request without its end. */
  struct Open
  {
    CallerRequest mRequest;
    RequestPlan mPlan;
    std::optional<PlacedAttempt> mAttempt{};
    uint64_t mCall = 0;
    bool mBegun = false;
  };

  /** One attempt at an engine. */
  struct Call
  {
    CallerRequest mRequest{};
    size_t mEngine = 0;
    /** An engine from which it is to fetch what it lacks of the prompt. */
    std::optional<size_t> mHolder{};
    bool mOver = false;
    bool mWhole = false;
  };

  void AddEntry(const GatesOptions& aOptions, size_t aEach)
  {
    mRouters.push_back(std::make_unique<DirectRouter>(
      DirectRouterOptions{ .mDataCentre = "here",
                           .mName = "entry-" + std::to_string(aEach),
                           .mPlacementCost = aOptions.mPlacementCost,
                           .mSeed = mTrace.mSeed + aEach }));
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
                    std::make_unique<Open>(
                      Open{ .mRequest = aRequest, .mPlan = std::move(aPlan) }));
    Open& open = *place->second;
    Carry(open, open.mPlan.Begin(mTime.Now()));
  }

  void Carry(Open& aOpen, const PlanStep& aStep)
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

  void Send(Open& aOpen, const PlacedAttempt& aAttempt)
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
    TellOthers(RouterOf(aOpen.mRequest));
  }

  void Start(uint64_t aId)
  {
    const Call& call = mCalls.at(aId);
    if (!mEngines[call.mEngine].mUp) {
      mTime.After(kNetwork, [this, aId] { OnUnreachable(aId); });
      return;
    }
    if (call.mOver) {
      return;
    }
    const TraceRequest& request = mTrace.mRequests[call.mRequest.mIndex];
    const EngineCall sent{ .mId = aId,
                           .mPriority = mTrace.ClassOf(request).mTier,
                           .mPrefix = request.mPrefix,
                           .mPrefixTokens = request.mPrefixTokens,
                           .mPromptTokens = request.mPromptTokens,
                           .mOutputTokens = request.mOutputTokens };
    VirtualEngine& engine = *mEngines[call.mEngine].mModel;
    if (call.mHolder && mEngines[*call.mHolder].mUp) {
      engine.StartWith(sent, *mEngines[*call.mHolder].mModel);
    } else {
      engine.Start(sent);
    }
  }

  /** The open request whose newest attempt that is, or null. */
  Open* CurrentOf(uint64_t aId)
  {
    const auto found = mOpen.find(mCalls.at(aId).mRequest);
    return found == mOpen.end() || found->second->mCall != aId
             ? nullptr
             : found->second.get();
  }

  void OnToken(uint64_t aId, bool aLast)
  {
    Call& call = mCalls.at(aId);
    call.mWhole = aLast;
    call.mOver = call.mOver || aLast;
    const VirtualEngine& engine = *mEngines[call.mEngine].mModel;
    const ReportedLoad load{
      .mRunning = static_cast<uint32_t>(engine.Running()),
      .mWaiting = static_cast<uint32_t>(engine.Waiting()),
      .mSlots = static_cast<uint32_t>(mTrace.mBatch.mMaxRunning)
    };
    mTime.After(kNetwork,
                [this, aId, aLast, load] { Arrive(aId, aLast, load); });
  }

  void Arrive(uint64_t aId, bool aLast, const ReportedLoad& aLoad)
  {
    Open* open = CurrentOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    const Millis now = mTime.Now();
    DirectRouter& router = RouterOf(open->mRequest);
    router.OnBytesReceived(*open->mAttempt, now);
    if (!open->mBegun) {
      open->mBegun = true;
      router.OnReport(*open->mAttempt, aLoad, now);
      open->mPlan.OnHead(kOk, now);
      open->mPlan.OnAnswerBegun();
    }
    router.OnStarted(*open->mAttempt, now);
    TellOthers(router);
    const CallerRequest request = open->mRequest;
    mHooks.mOnToken(request);
    if (!aLast) {
      return;
    }
    router.OnEnded(*open->mAttempt, AttemptOutcome::Good, now);
    mOpen.erase(request);
    mHooks.mOnWhole(request);
  }

  void OnUnreachable(uint64_t aId)
  {
    Open* open = CurrentOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    EndAttempt(*open, AttemptOutcome::Unreachable);
    Carry(*open, open->mPlan.OnUnreachable(mTime.Now()));
  }

  void OnBroken(uint64_t aId)
  {
    Open* open = CurrentOf(aId);
    if (open == nullptr || !open->mAttempt) {
      return;
    }
    EndAttempt(*open, AttemptOutcome::Broken);
    Carry(*open, open->mPlan.OnBroken(false, mTime.Now()));
  }

  /** Gives the attempt back to its router, and takes it off its engine. */
  void EndAttempt(Open& aOpen, AttemptOutcome aOutcome)
  {
    if (!aOpen.mAttempt) {
      return;
    }
    RouterOf(aOpen.mRequest).OnEnded(*aOpen.mAttempt, aOutcome, mTime.Now());
    aOpen.mAttempt.reset();
    mCalls.at(aOpen.mCall).mOver = true;
    mTime.After(kNetwork, [this, id = aOpen.mCall] {
      mEngines[mCalls.at(id).mEngine].mModel->Cancel(id);
    });
  }

  /** The entries that stand next to this one in the ring of all. */
  std::vector<DirectRouter*> ToldBy(const DirectRouter& aRouter) const
  {
    const size_t all = mRouters.size();
    const auto own =
      std::find_if(mRouters.begin(), mRouters.end(), [&](const auto& aEach) {
        return aEach.get() == &aRouter;
      });
    const auto first = static_cast<size_t>(own - mRouters.begin());
    std::vector<DirectRouter*> told;
    for (size_t each = 1; each < all && told.size() < mMostTold; ++each) {
      told.push_back(mRouters[(first + each) % all].get());
    }
    return told;
  }

  /** Tells the others what is new here, a little later. */
  void TellOthers(DirectRouter& aRouter)
  {
    if (!mPeers || !aRouter.HasPeerUpdate() ||
        !mTelling.insert(&aRouter).second) {
      return;
    }
    mTime.After(mTellSpan, [this, from = &aRouter] {
      mTelling.erase(from);
      const PeerUpdate notes = from->TakePeerUpdate(mTime.Now());
      for (DirectRouter* router : ToldBy(*from)) {
        router->OnPeerUpdate(notes, mTime.Now());
      }
    });
  }

  VirtualTime& mTime;
  bool mPeers = false;
  size_t mMostTold;
  Millis mTellSpan;
  std::set<DirectRouter*> mTelling;
  const Trace& mTrace;
  CallerHooks mHooks;
  std::vector<Engine> mEngines;
  std::vector<std::unique_ptr<DirectRouter>> mRouters;
  std::map<uint64_t, Call> mCalls;
  std::map<CallerRequest, std::unique_ptr<Open>> mOpen;
  uint64_t mNextId = 1;
};

} // namespace

std::unique_ptr<Router>
MakeGates(VirtualTime& aTime,
          const Trace& aTrace,
          CallerHooks aHooks,
          const GatesOptions& aOptions)
{
  return std::make_unique<Gates>(aTime, aTrace, std::move(aHooks), aOptions);
}

} // namespace replay
