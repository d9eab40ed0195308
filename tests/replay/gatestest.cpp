#include "replayrun.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>

using namespace replay;
using trefoilarch::PlacementCandidate;
using trefoilarch::PlacementChoice;
using trefoilarch::PlacementCost;
using trefoilarch::RequestClass;

/** Tests of entries that send straight to engines, in virtual time. */
namespace {

RouterMaker
GateRouterWith(const PlacementCost& aCost = {}, bool aSendsPeerUpdates = false)
{
  return [aCost, aSendsPeerUpdates](
           VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks) {
    return MakeGateRouter(
      aTime,
      aTrace,
      std::move(aHooks),
      { .mSendsPeerUpdates = aSendsPeerUpdates, .mPlacementCost = aCost });
  };
}

Score
ReplayNamed(const std::string& aName)
{
  return Replay(ReadTrace(TREFOILARCH_TRACES, aName), GateRouterWith());
}

RequestClass
ClassOf(const char* aName, trefoilarch::Tier aTier, int64_t aTarget)
{
  return { .mName = aName,
           .mTier = aTier,
           .mFirstTokenTarget = Millis(aTarget),
           .mBetweenTokenTarget = Millis(150),
           .mDeadline = Millis(8000) };
}

/**
 * Drafts that share 300 recurring long histories, mixed with short questions,
 * on twelve engines that can each cache about 25 histories.
 */
Trace
LongHistories()
{
  constexpr uint64_t kHistories = 300;
  constexpr int64_t kDurationMs = 30000;
  Trace trace{ .mName = "long_histories", .mSeed = 7, .mEntries = 4 };
  trace.mEngines = 12;
  trace.mBatch = ReplayBatch();
  trace.mBatch.mMaxRunning = 32;
  trace.mBatch.mMemoryTokens = 200000;
  trace.mBatch.mCacheBlocks = 10000;
  trace.mClasses = { ClassOf("question", 0, 400), ClassOf("draft", 1, 1500) };
  std::mt19937_64 random(trace.mSeed);
  std::exponential_distribution<double> gap(0.075);
  std::geometric_distribution<uint64_t> history(0.012);
  std::bernoulli_distribution draft(0.5);
  std::uniform_int_distribution<uint32_t> output(20, 90);
  for (double at = 0; at < kDurationMs; at += gap(random)) {
    const bool drafts = draft(random);
    trace.mRequests.push_back(
      { .mAt = Millis(static_cast<int64_t>(at)),
        .mClass = drafts ? "draft" : "question",
        .mWorkspace = "w",
        .mPrefix = drafts ? history(random) % kHistories : kHistories,
        .mPrefixTokens = drafts ? 6000U : 160U,
        .mPromptTokens = drafts ? 7000U : 500U,
        .mOutputTokens = output(random) });
  }
  return trace;
}

/** Costs that place requests on the engines in rotation. */
PlacementCost
RoundRobin()
{
  const auto calls = std::make_shared<uint64_t>(0);
  return [calls](const PlacementCandidate& aCandidate,
                 const PlacementChoice&,
                 Millis) {
    // The offset advances after one call per engine; the costs always differ by
    // engine.
    const uint64_t engine = std::stoull(aCandidate.mListed->mAddress);
    constexpr uint64_t kEngines = 12;
    const uint64_t offset = (*calls)++ / kEngines;
    return 10.0 * static_cast<double>((engine + offset) % kEngines);
  };
}

PlacementCost
LeastLoad()
{
  return [](const PlacementCandidate& aCandidate,
            const PlacementChoice&,
            Millis aNow) { return 10.0 * aCandidate.mWork->Busy(aNow); };
}

/** Prefers the engine that has cached the history, whatever its queue. */
PlacementCost
AffinityAlone()
{
  return [](const PlacementCandidate& aCandidate,
            const PlacementChoice& aPlaced,
            Millis aNow) {
    return 1000.0 * aPlaced.mMissing + 10.0 * aCandidate.mWork->Busy(aNow);
  };
}

double
AttainmentOf(const Score& aScore)
{
  size_t requests = 0;
  size_t attained = 0;
  for (const auto& [name, each] : aScore.mClasses) {
    requests += each.mRequestCount;
    attained += each.mAttained;
  }
  return static_cast<double>(attained) / static_cast<double>(requests);
}

} // namespace

Test(gates, nothing_is_lost_doubled_or_misreported)
{
  for (const std::string& name : TraceNames(TREFOILARCH_TRACES)) {
    const Score score = ReplayNamed(name);
    cr_assert_eq(score.mLost, 0, "%s", name.c_str());
    cr_assert_eq(score.mEndedTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mExecutedTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mFalseNotRun, 0, "%s", name.c_str());
  }
}

/** At twice the engines' capacity the most urgent classes are served, and
 * refusals are sent at once. */
Test(gates, overload_falls_on_the_least_urgent)
{
  const Score score = ReplayNamed("morning_bookings");
  cr_expect_geq(score.mClasses.at("mid_call").Completion(), 0.99);
  cr_expect_geq(score.mClasses.at("booking").Completion(), 0.99);
  const ClassScore& pages = score.mClasses.at("public");
  cr_expect_lt(pages.Completion(), score.mClasses.at("guidance").Completion());
  cr_expect_lt(Quantile(pages.mRefusalTimes, 0.5), 100);
}

/** Compares the default placement with round robin, least load and affinity
 * alone. Share of requests in time: 0.979, 0.593, 0.458 and 0.114; millions of
 * prompt tokens prefilled: 3.02, 4.59, 4.26 and 1.21. */
Test(gates, placement_by_work_beats_simpler_policies)
{
  const Trace trace = LongHistories();
  const Score chosen = Replay(trace, GateRouterWith());
  const Score rotating = Replay(trace, GateRouterWith(RoundRobin()));
  const Score leastLoad = Replay(trace, GateRouterWith(LeastLoad()));
  const Score affinity = Replay(trace, GateRouterWith(AffinityAlone()));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(rotating));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(leastLoad));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(affinity));
  cr_expect_gt(AttainmentOf(chosen), 0.95);
  cr_expect_lt(chosen.mPrefilled, leastLoad.mPrefilled * 4 / 5);
}

/** Compares four entries that send each other updates about their requests with
 * four that know only their own requests. */
Test(gates, entries_with_peer_updates_serve_more_in_time)
{
  const Trace trace = LongHistories();
  const Score alone = Replay(trace, GateRouterWith());
  const Score together = Replay(trace, GateRouterWith({}, true));
  cr_expect_geq(AttainmentOf(together), AttainmentOf(alone));
  cr_expect_leq(together.mPrefilled, alone.mPrefilled);
}

/** The same overload with updates between entries. */
Test(gates, overload_with_peer_updates_falls_on_the_least_urgent)
{
  const Score score = Replay(ReadTrace(TREFOILARCH_TRACES, "morning_bookings"),
                             GateRouterWith({}, true));
  cr_expect_geq(score.mClasses.at("mid_call").Completion(), 0.99);
  cr_expect_geq(score.mClasses.at("booking").Completion(), 0.99);
  cr_expect_eq(score.mEndedTwice, 0);
  cr_expect_eq(score.mFalseNotRun, 0);
}
