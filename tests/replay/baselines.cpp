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
constexpr Millis kReportEvery{ 500 };
constexpr Millis kReportLag{ 500 };
/** A lost host is left out after this. */
constexpr Millis kNoticeLoss{ 1000 };

/** What a baseline knows of an engine. */
struct Seen
{
  size_t mLoad = 0;
  bool mUp = true;
};

using Choose = std::function<size_t(const std::vector<Seen>&)>;

/** Binds each request to an engine on arrival and never refuses. */
class EarlyBinding : public Router
{
public:
  EarlyBinding(VirtualTime& aTime,
               const Trace& aTrace,
               CallerHooks aHooks,
               Choose aChoose,
               bool aTiers)
    : mTime(aTime)
    , mTrace(aTrace)
    , mHooks(std::move(aHooks))
    , mChoose(std::move(aChoose))
    , mTiers(aTiers)
    , mSeen(aTrace.mEngines)
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
    const size_t engine = mChoose(mSeen);
    const uint64_t id = mNextId++;
    mCalls[id] = { .mRequest = aRequest, .mEngine = engine };
    mOpen[aRequest] = id;
    mTime.After(kNetwork, [this, id] { Start(id); });
  }

  void Leave(CallerRequest aRequest) override
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
    if (aFault.mSlow > 0) {
      return mEngines[aFault.mEngine]->SetSlow(aFault.mSlow);
    }
    const size_t engine = aFault.mEngine;
    mUp[engine] = false;
    mEngines[engine]->Crash();
    mTime.After(kNoticeLoss, [this, engine] { mSeen[engine].mUp = false; });
    const auto open = mOpen;
    for (const auto& [request, id] : open) {
      if (mCalls.at(id).mEngine == engine) {
        Lose(id);
      }
    }
  }

  std::vector<Spent> Executions() const override
  {
    std::vector<Spent> spent;
    for (const auto& engine : mEngines) {
      for (const Execution& execution : engine->Executions()) {
        spent.push_back({ .mRequest = mCalls.at(execution.mId).mRequest,
                          .mCost = LeastCost(execution.mPromptTokens,
                                             execution.mOutputTokens),
                          .mWhole = mCalls.at(execution.mId).mWhole });
      }
    }
    return spent;
  }

private:
  struct Call
  {
    CallerRequest mRequest{};
    size_t mEngine = 0;
    bool mBegun = false;
    bool mWhole = false;
  };

  void Start(uint64_t aId)
  {
    const Call& call = mCalls.at(aId);
    const TraceRequest& request = mTrace.mRequests[call.mRequest.mIndex];
    if (!mUp[call.mEngine]) {
      return Lose(aId);
    }
    mEngines[call.mEngine]->Start(
      { .mId = aId,
        .mPriority = mTiers ? mTrace.ClassOf(request).mTier : 0,
        .mPrefix = request.mPrefix,
        .mPrefixTokens = request.mPrefixTokens,
        .mPromptTokens = request.mPromptTokens,
        .mOutputTokens = request.mOutputTokens });
  }

  /** The connection broke: asks once more where nothing has been seen. */
  void Lose(uint64_t aId)
  {
    const Call call = mCalls.at(aId);
    const bool idempotent = mTrace.mRequests[call.mRequest.mIndex].mIdempotent;
    mOpen.erase(call.mRequest);
    if (!call.mBegun && idempotent) {
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
    call.mBegun = true;
    call.mWhole = aLast;
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
        mHooks.mOnWhole(request);
      }
    });
  }

  void Report()
  {
    for (size_t i = 0; i < mEngines.size(); ++i) {
      mTime.After(kReportLag, [this, i, load = mEngines[i]->Open()] {
        mSeen[i].mLoad = load;
      });
    }
    if (mTime.Now() < mTrace.End()) {
      mTime.After(kReportEvery, [this] { Report(); });
    }
  }

  VirtualTime& mTime;
  const Trace& mTrace;
  CallerHooks mHooks;
  Choose mChoose;
  bool mTiers;
  std::vector<std::unique_ptr<VirtualEngine>> mEngines;
  std::vector<Seen> mSeen;
  std::vector<bool> mUp;
  std::map<uint64_t, Call> mCalls;
  std::map<CallerRequest, uint64_t> mOpen;
  uint64_t mNextId = 1;
};

} // namespace

std::unique_ptr<Router>
MakeRoundRobin(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
{
  const auto choose = [next =
                         size_t{ 0 }](const std::vector<Seen>& aSeen) mutable {
    do {
      next = (next + 1) % aSeen.size();
    } while (!aSeen[next].mUp);
    return next;
  };
  return std::make_unique<EarlyBinding>(
    aTime, aTrace, std::move(aHooks), choose, false);
}

std::unique_ptr<Router>
MakeTwoChoices(VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks)
{
  const auto choose = [random = std::mt19937_64(aTrace.mSeed)](
                        const std::vector<Seen>& aSeen) mutable {
    std::uniform_int_distribution<size_t> pick(0, aSeen.size() - 1);
    const auto draw = [&] {
      size_t one = pick(random);
      while (!aSeen[one].mUp) {
        one = pick(random);
      }
      return one;
    };
    const size_t first = draw();
    const size_t second = draw();
    return aSeen[second].mLoad < aSeen[first].mLoad ? second : first;
  };
  return std::make_unique<EarlyBinding>(
    aTime, aTrace, std::move(aHooks), choose, true);
}

} // namespace replay
