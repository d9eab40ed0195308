#include "unevenfleet.h"

#include "unevenengine.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace trefoilarch;

namespace unevenfleet {

namespace {

constexpr size_t kEngines = 12;
constexpr size_t kEntries = 6;
constexpr size_t kWorkspaces = 24;
constexpr double kSpeeds[] = { 0.6, 1.0, 1.6 };

/** Part of K's 56 engines, in requests per millisecond. */
constexpr double kScale = 12.0 / 56 / 1000;

/** Times count from 10 s, as in a process that has run for a while. */
constexpr Millis kStart{ 10000 };
constexpr Millis kBurstFrom{ 10500 };
constexpr Millis kFloodFrom{ 12000 };
/** After the begin: when speeds are known, and when a flood must not harm
 * others. */
constexpr Millis kSpeedsKnown{ 2000 };
constexpr Millis kFloodSettled{ 4000 };
constexpr Millis kLoadEnd{ 18000 };
/** The longest deadline later. */
constexpr Millis kEnd{ 33001 };

/** The gate's intervals in a fleet of this size. */
constexpr int64_t kPeerIntervalMs = 35;
constexpr int64_t kLoadIntervalMs = 500;

std::shared_ptr<const RoutePolicy>
PolicyWith(uint64_t aMemoryTokens)
{
  RoutePolicy policy{ .mVersion = 1 };
  for (const RouteLoad& each : kLoads) {
    const auto priority = static_cast<uint8_t>(policy.mRoutes.size());
    policy.mRoutes.push_back(
      { .mName = each.mName,
        .mHost = "h",
        .mPathPrefix = std::string("/") + each.mName + "/",
        .mStream = true,
        .mTimeout = each.mDeadline,
        .mFirstTokenTarget = each.mFirstToken,
        .mGapTarget = each.mPause,
        .mPriority = priority,
        .mTargets = { { .mService = "llm" } } });
  }
  policy.mServices["llm"] = { .mName = "llm",
                              .mMaxConnections = kSlots * kEntries,
                              .mEngine = EngineTraits{
                                .mSlots = kSlots,
                                .mMemoryTokens = aMemoryTokens,
                                .mTokensPerEvent = kTokensPerEvent } };
  for (size_t each = 0; each < kWorkspaces; ++each) {
    const std::string name = std::to_string(each);
    policy.mWorkspaces.push_back({ .mName = "w" + name, .mKeys = { name } });
  }
  return std::make_shared<const RoutePolicy>(std::move(policy));
}

class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions)
    : mOptions(aOptions)
  {
    const auto memory = static_cast<uint64_t>(aOptions.mMemoryTokens);
    for (uint32_t each = 0; each < kEngines; ++each) {
      mEngines.emplace_back(
        kSpeeds[each % 3], aOptions.mMemoryTokens, aOptions.mSeed * 100 + each);
    }
    for (size_t entry = 0; entry < kEntries; ++entry) {
      AddRouter(std::to_string(entry), aOptions.mSeed * 100 + entry);
      mRouters.back()->SetPolicy(PolicyWith(memory));
    }
    for (uint32_t each = 0; each < 3 * kWorkspaces; ++each) {
      AddArrivals(static_cast<uint8_t>(each % 3), each / 3);
    }
  }

  Outcomes Run()
  {
    for (; mNow < kEnd; mNow += Millis(1)) {
      Exchange();
      while (!mDue.empty() && mDue.begin()->first <= mNow) {
        Act(*mDue.extract(mDue.begin()).mapped());
      }
      for (Engine& each : mEngines) {
        each.Advance(mNow, [this](Request& aRequest) { OnEvent(aRequest); });
      }
    }
    return mOutcomes;
  }

private:
  void AddRouter(std::string aName, uint64_t aSeed)
  {
    DirectRouterOptions options{ .mName = std::move(aName), .mSeed = aSeed };
    LoadTrackerOptions& load = options.mLoad;
    load.mUpstreamPerformance = mOptions.mParts;
    load.mEngineMemory = mOptions.mParts;
    load.mFairShares = mOptions.mParts;
    mRouters.push_back(std::make_unique<DirectRouter>(std::move(options)));
    for (size_t each = 0; each < kEngines; ++each) {
      mRouters.back()->Directory().Put(
        { .mId = std::to_string(each),
          .mService = "llm",
          .mAddress = "a:" + std::to_string(each),
          .mSlots = kSlots });
    }
    mRouters.back()->OnDirectoryChanged(kStart);
    mRouters.back()->SetEntries(kEntries);
  }
  /** The workspaces' rates are as 1, 1/2, 1/3 and so on. */
  void AddArrivals(uint8_t aRoute, uint32_t aWorkspace)
  {
    double weights = 0;
    for (size_t each = 1; each <= kWorkspaces; ++each) {
      weights += 1 / static_cast<double>(each);
    }
    const double factor = aRoute == Quest ? mOptions.mQuestFactor : 1;
    const double rate =
      factor * kLoads[aRoute].mRate * kScale / (weights * (aWorkspace + 1));
    const double burst = aRoute == Save ? rate : 0;
    const bool floods = mOptions.mFlood && aWorkspace == 0;
    AddStream(aRoute, aWorkspace, rate, kStart);
    AddStream(aRoute, aWorkspace, burst, kBurstFrom);
    AddStream(aRoute, aWorkspace, floods ? 5 * (rate + burst) : 0, kFloodFrom);
  }
  /** Each stream has a generator of its own, so that a flood leaves the other
   * arrivals unchanged. */
  void AddStream(uint8_t aRoute,
                 uint32_t aWorkspace,
                 double aRate,
                 Millis aFrom)
  {
    const auto from = static_cast<uint32_t>(aFrom.Count());
    std::seed_seq seed{ mOptions.mSeed, uint32_t{ aRoute }, aWorkspace, from };
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(std::max(aRate, 1e-9));
    std::uniform_real_distribution<double> length(0.5, 1.5);
    double at = from + gap(random);
    for (; at < static_cast<double>(kLoadEnd.Count()); at += gap(random)) {
      const auto events = static_cast<double>(kLoads[aRoute].mEvents);
      mRequests.push_back(std::make_unique<Request>(Request{
        .mNumber = mRequests.size(),
        .mRoute = aRoute,
        .mWorkspace = aWorkspace,
        .mEntry = random() % kEntries,
        .mArrivedAt = Millis(std::llround(at)),
        .mOutput = std::llround(events * length(random)) * kTokensPerEvent }));
      Request& request = *mRequests.back();
      mDue.emplace(request.mArrivedAt, &request);
      mDue.emplace(request.Deadline(), &request);
    }
  }
  void Exchange()
  {
    for (size_t from = 0; from < kEntries; ++from) {
      DirectRouter& sender = *mRouters[from];
      sender.ConfirmPolicy(mNow);
      const int64_t at = mNow.Count() + 7 * static_cast<int64_t>(from);
      std::optional<PeerUpdate> update;
      std::optional<LoadUpdate> load;
      if (at % kPeerIntervalMs == 0) {
        update = sender.TakePeerUpdate(mNow);
      }
      if (at % kLoadIntervalMs == 0 && sender.Load().HasUpdate(mNow)) {
        load = sender.Load().TakeUpdate(mNow);
      }
      for (const auto& each : mRouters) {
        if (update && each.get() != &sender) {
          each->OnPeerUpdate(*update, mNow);
        }
        if (load && each.get() != &sender) {
          each->Load().OnUpdate(*load, mNow);
        }
      }
    }
  }
  /** It arrives, returns, ends to wait at its entry, or its time is up. */
  void Act(Request& aRequest)
  {
    if (aRequest.mEnded) {
      return;
    }
    if (mNow >= aRequest.Deadline()) {
      if (aRequest.mAttempt) {
        EngineOf(aRequest).Withdraw(aRequest);
        RouterOf(aRequest).OnEnded(
          *aRequest.mAttempt, AttemptOutcome::Withdrawn, mNow);
      }
      Count(aRequest, { Failed });
    } else if (aRequest.mPlan) {
      Apply(aRequest, aRequest.mPlan->OnHoldElapsed(mNow));
    } else {
      Bind(aRequest);
    }
  }
  void Bind(Request& aRequest)
  {
    const RouteLoad& load = aRequest.Load();
    const auto shared = static_cast<uint32_t>(load.mShared);
    const auto own = static_cast<uint32_t>(load.mPrompt);
    const auto output = static_cast<uint32_t>(load.mEvents * kTokensPerEvent);
    const std::string path = std::string("/") + load.mName + "/x";
    const RequestAttributes attributes{
      .mHost = "h",
      .mPath = path,
      .mKey = std::to_string(aRequest.mWorkspace),
      .mArrivedAt = mNow,
      .mCallerTimeout = aRequest.Deadline() - mNow,
      .mPrompt = { .mPromptTokens = shared + own,
                   .mMaxOutput = 2 * output,
                   .mSegments = { { aRequest.Segment(), shared },
                                  { 1000 + aRequest.mNumber, own } } }
    };
    boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(bound, RouterOf(aRequest).Bind(attributes, mNow));
        aRequest.mPlan.emplace(RouterOf(aRequest), std::move(bound));
        Apply(aRequest, aRequest.mPlan->Begin(mNow));
        return {};
      },
      [&](const Refusal& aRefusal) { OnRefusal(aRequest, aRefusal); },
      [&] { OnRefusal(aRequest, {}); });
  }
  void Apply(Request& aRequest, PlanStep aStep)
  {
    if (auto* send = std::get_if<SendRequest>(&aStep)) {
      aRequest.mAttempt = std::move(send->mAttempt);
      aRequest.mPlan->OnSending();
      EngineOf(aRequest).Send(aRequest);
    } else if (const auto* hold = std::get_if<HoldRequest>(&aStep)) {
      mDue.emplace(mNow + hold->mDelay, &aRequest);
    } else if (const auto* refusal = std::get_if<AnswerRefusal>(&aStep)) {
      aRequest.mPlan.reset();
      OnRefusal(aRequest, refusal->mRefusal);
    } else {
      Count(aRequest, { Failed });
    }
  }
  /** Callers obey Retry-After up to a third of the time left. */
  void OnRefusal(Request& aRequest, const Refusal& aRefusal)
  {
    const Millis wait = aRefusal.mRetryAfter;
    if (wait > Millis(0) && wait * 3 <= aRequest.Deadline() - mNow) {
      mDue.emplace(mNow + wait, &aRequest);
    } else {
      Count(aRequest, { Refused });
    }
  }
  void OnEvent(Request& aRequest)
  {
    DirectRouter& router = RouterOf(aRequest);
    PlacedAttempt& attempt = *aRequest.mAttempt;
    router.OnBytesReceived(attempt, mNow);
    if (!aRequest.mFirstAt) {
      const Engine& engine = EngineOf(aRequest);
      aRequest.mFirstAt = mNow;
      router.OnReport(attempt, engine.Load(), mNow);
      router.Load().OnContention(attempt.mUpstream, engine.Contention(), mNow);
      router.OnStarted(attempt, mNow);
    } else {
      const Millis pause = mNow - aRequest.mLastAt;
      aRequest.mLongestPause = std::max(aRequest.mLongestPause, pause);
      router.OnPause(attempt, pause, mNow);
    }
    aRequest.mLastAt = mNow;
    if (aRequest.mSoFar == aRequest.mOutput) {
      router.OnEnded(attempt, AttemptOutcome::Good, mNow);
      const RouteLoad& load = aRequest.Load();
      const Millis firstToken = *aRequest.mFirstAt - aRequest.mArrivedAt;
      const bool first = firstToken > load.mFirstToken;
      const bool pause = aRequest.mLongestPause > load.mPause;
      if (first && pause) {
        Count(aRequest, { LateFirst, LatePause });
      } else {
        Count(aRequest, { first ? LateFirst : pause ? LatePause : OnTime });
      }
    }
  }
  void Count(Request& aRequest, std::initializer_list<Figure> aFigures)
  {
    aRequest.mEnded = true;
    const Millis after = aRequest.mArrivedAt - kStart;
    const bool later = after > kSpeedsKnown;
    const bool fast = aRequest.mAttempt && EngineNumberOf(aRequest) % 3 == 0;
    CountIn(aRequest.mRoute, aRequest, aFigures);
    if (aRequest.mRoute == Quest && later) {
      CountIn(LaterQuest, aRequest, aFigures);
    }
    if (aRequest.mRoute == Quest && fast) {
      CountIn(FastestQuest, aRequest, aFigures);
    }
    if (after > kFloodSettled) {
      const bool floods = aRequest.mWorkspace == 0;
      CountIn(floods ? Flooder : Modest, aRequest, aFigures);
    }
  }
  void CountIn(uint8_t aGroup,
               const Request& aRequest,
               std::initializer_list<Figure> aFigures)
  {
    Figures& figures = mOutcomes[aGroup];
    figures[Asked]++;
    figures[Preempted] += aRequest.mPreempted;
    for (const Figure each : aFigures) {
      figures[each]++;
    }
  }
  static size_t EngineNumberOf(const Request& aRequest)
  {
    return std::stoul(aRequest.mAttempt->mUpstream);
  }
  Engine& EngineOf(const Request& aRequest)
  {
    return mEngines[EngineNumberOf(aRequest)];
  }
  DirectRouter& RouterOf(const Request& aRequest)
  {
    return *mRouters[aRequest.mEntry];
  }

  FleetOptions mOptions;
  std::vector<std::unique_ptr<DirectRouter>> mRouters;
  std::vector<Engine> mEngines;
  std::vector<std::unique_ptr<Request>> mRequests;
  std::multimap<Millis, Request*> mDue;
  Millis mNow = kStart;
  Outcomes mOutcomes{};
};

} // namespace

Outcomes
Run(const FleetOptions& aOptions)
{
  return Fleet(aOptions).Run();
}

} // namespace unevenfleet
