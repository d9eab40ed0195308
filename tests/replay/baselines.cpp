#include "router.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace replay {

using trefoilarch::ErrorKind;
using trefoilarch::Ran;
using trefoilarch::Refusal;

namespace {

constexpr Millis kNetwork{ 1 };
constexpr Millis kReportInterval{ 500 };
constexpr Millis kReportDelay{ 500 };
/** Time until requests avoid a lost host. */
constexpr Millis kHostLossDetectionDelay{ 1000 };

/** A baseline router's view of one engine. */
struct EngineView
{
  size_t mLoad = 0;
  bool mUp = true;
};

using EngineChooser = std::function<size_t(const std::vector<EngineView>&)>;

/** Binds each request to an engine on arrival and never rejects one. */
class EarlyBinding : public Router
{
public:
  EarlyBinding(VirtualTime& aTime,
               const Trace& aTrace,
               CallerHooks aHooks,
               EngineChooser aChooser,
               bool aUsesTiers)
    : mTime(aTime)
    , mTrace(aTrace)
    , mHooks(std::move(aHooks))
    , mChooser(std::move(aChooser))
    , mUsesTiers(aUsesTiers)
    , mEngineViews(aTrace.mEngines)
    , mUp(aTrace.mEngines, true)
  {
    for (size_t i = 0; i < aTrace.mEngines; ++i) {
      mEngines.push_back(std::make_unique<VirtualEngine>(
        aTime, aTrace.mBatch, [this](uint64_t aId, bool aLast) {
          OnToken(aId, aLast);
        }));
    }
    Report();
  }

  void Submit(CallerRequest aRequest) override
  {
    const size_t engine = mChooser(mEngineViews);
    const uint64_t id = mNextId++;
    mCalls[id] = { .mRequest = aRequest, .mEngine = engine };
    mOpen[aRequest] = id;
    mTime.After(kNetwork, [this, id] { Start(id); });
  }

  void Abandon(CallerRequest aRequest) override
  {
    const auto found = mOpen.find(aRequest);
    if (found == mOpen.end()) {
      return;
    }
    const uint64_t id = found->second;
    mOpen.erase(found);
    mTime.After(kNetwork,
                [this, id] { mEngines[mCalls.at(id).mEngine]->Cancel(id); });
  }

  void Apply(const TraceFault& aFault) override
  {
    if (aFault.mSlowdown > 0) {
      return mEngines[aFault.mEngine]->SetSlowdown(aFault.mSlowdown);
    }
    const size_t engine = aFault.mEngine;
    mUp[engine] = false;
    mEngines[engine]->Crash();
    mTime.After(kHostLossDetectionDelay,
                [this, engine] { mEngineViews[engine].mUp = false; });
    const auto open = mOpen;
    for (const auto& [request, id] : open) {
      if (mCalls.at(id).mEngine == engine) {
        OnConnectionLost(id);
      }
    }
  }

  std::vector<ExecutionCost> Executions() const override
  {
    std::vector<ExecutionCost> costs;
    for (const auto& engine : mEngines) {
      for (const Execution& execution : engine->Executions()) {
        costs.push_back(
          { .mRequest = mCalls.at(execution.mId).mRequest,
            .mCost = MinCost(execution.mPromptTokens, execution.mOutputTokens),
            .mComplete = mCalls.at(execution.mId).mComplete });
      }
    }
    return costs;
  }

private:
  struct Call
  {
    CallerRequest mRequest{};
    size_t mEngine = 0;
    bool mResponseStarted = false;
    bool mComplete = false;
  };

  void Start(uint64_t aId)
  {
    const Call& call = mCalls.at(aId);
    const TraceRequest& request = mTrace.mRequests[call.mRequest.mIndex];
    if (!mUp[call.mEngine]) {
      return OnConnectionLost(aId);
    }
    mEngines[call.mEngine]->Start(
      { .mId = aId,
        .mPriority = mUsesTiers ? mTrace.ClassOf(request).mTier : 0,
        .mPrefix = request.mPrefix,
        .mPrefixTokens = request.mPrefixTokens,
        .mPromptTokens = request.mPromptTokens,
        .mOutputTokens = request.mOutputTokens });
  }

  /** Resubmits an idempotent request whose response has not started, and fails
   * any other. */
  void OnConnectionLost(uint64_t aId)
  {
    const Call call = mCalls.at(aId);
    const bool idempotent = mTrace.mRequests[call.mRequest.mIndex].mIdempotent;
    mOpen.erase(call.mRequest);
    if (!call.mResponseStarted && idempotent) {
      return Submit(call.mRequest);
    }
    mHooks.mOnRefused(call.mRequest,
                      Refusal{ .mKind = ErrorKind::UpstreamFailed,
                               .mRan = Ran::Maybe,
                               .mRetryAfter = {},
                               .mMessage = {} });
  }

  void OnToken(uint64_t aId, bool aLast)
  {
    Call& call = mCalls.at(aId);
    call.mResponseStarted = true;
    call.mComplete = aLast;
    mTime.After(kNetwork, [this, request = call.mRequest, aId, aLast] {
      const auto found = mOpen.find(request);
      if (found == mOpen.end() || found->second != aId) {
        return;
      }
      mHooks.mOnToken(request);
      if (aLast) {
        mOpen.erase(found);
      }
      if (aLast) {
        mHooks.mOnComplete(request);
      }
    });
  }

  void Report()
  {
    for (size_t i = 0; i < mEngines.size(); ++i) {
      mTime.After(kReportDelay, [this, i, load = mEngines[i]->OpenCalls()] {
        mEngineViews[i].mLoad = load;
      });
    }
    if (mTime.Now() < mTrace.End()) {
      mTime.After(kReportInterval, [this] { Report(); });
    }
  }

  VirtualTime& mTime;
  const Trace& mTrace;
  CallerHooks mHooks;
  EngineChooser mChooser;
  bool mUsesTiers;
  std::vector<std::unique_ptr<VirtualEngine>> mEngines;
  std::vector<EngineView> mEngineViews;
  std::vector<bool> mUp;
  std::map<uint64_t, Call> mCalls;
  std::map<CallerRequest, uint64_t> mOpen;
  uint64_t mNextId = 1;
};

} // namespace

std::unique_ptr<Router>
MakeRoundRobin(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
{
  const auto choose =
    [next = size_t{ 0 }](const std::vector<EngineView>& aViews) mutable {
      do {
        next = (next + 1) % aViews.size();
      } while (!aViews[next].mUp);
      return next;
    };
  return std::make_unique<EarlyBinding>(
    aTime, aTrace, std::move(aHooks), choose, false);
}

std::unique_ptr<Router>
MakeTwoChoices(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
{
  const auto choose = [random = std::mt19937_64(aTrace.mSeed)](
                        const std::vector<EngineView>& aViews) mutable {
    std::uniform_int_distribution<size_t> pick(0, aViews.size() - 1);
    const auto draw = [&] {
      size_t one = pick(random);
      while (!aViews[one].mUp) {
        one = pick(random);
      }
      return one;
    };
    const size_t first = draw();
    const size_t second = draw();
    return aViews[second].mLoad < aViews[first].mLoad ? second : first;
  };
  return std::make_unique<EarlyBinding>(
    aTime, aTrace, std::move(aHooks), choose, true);
}

} // namespace replay
