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

/** Entries that send straight to engines, in virtual time. */
namespace {

RouterMaker
GatesWith(const PlacementCost& aCost = {}, bool aPeers = false)
{
  return [aCost,
          aPeers](VirtualTime& aTime, const Trace& aTrace, CallerHooks aHooks) {
    return MakeGates(aTime,
                     aTrace,
                     std::move(aHooks),
                     { .mPeers = aPeers, .mPlacementCost = aCost });
  };
}

Score
ReplayNamed(const std::string& aName)
{
  return Replay(ReadTrace(TREFOILARCH_TRACES, aName), GatesWith());
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
 * Drafts with long histories that come again, 300 of them, beside short
 * questions; twelve engines, each of which can keep some 25 histories.
 */
Trace
LongHistories()
{
  constexpr uint64_t kHistories = 300;
  constexpr int64_t kSpan = 30000;
  Trace trace{ .mName = "long_histories", .mSeed = 7, .mEntries = 4 };
  trace.mEngines = 12;
  trace.mBatch = ReplayBatch();
  trace.mBatch.mMaxRunning = 32;
  trace.mBatch.mMemoryTokens = 200000;
  trace.mBatch.mCacheBlocks = 10000;
  trace.mClasses = { ClassOf("question", 0, 400), ClassOf("draft", 1, 1500) };
  std::mt19937_64 random(trace.mSeed);
  std::exponential_distribution<double> pause(0.075);
  std::geometric_distribution<uint64_t> history(0.012);
  std::bernoulli_distribution draft(0.5);
  std::uniform_int_distribution<uint32_t> output(20, 90);
  for (double at = 0; at < kSpan; at += pause(random)) {
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

/** Which engine's turn it is. */
PlacementCost
RoundRobin()
{
  const auto turns = std::make_shared<uint64_t>(0);
  return [turns](const PlacementCandidate& aCandidate,
                 const PlacementChoice&,
                 Millis) {
    // One more question each time: the numbers stay apart by engine.
    const uint64_t engine = std::stoull(aCandidate.mListed->mAddress);
    constexpr uint64_t kEngines = 12;
    const uint64_t turn = (*turns)++ / kEngines;
    return 10.0 * static_cast<double>((engine + turn) % kEngines);
  };
}

PlacementCost
LeastLoad()
{
  return [](const PlacementCandidate& aCandidate,
            const PlacementChoice&,
            Millis aNow) { return 10.0 * aCandidate.mWork->Busy(aNow); };
}

/** The engine that holds the history, whatever waits there. */
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
  size_t asked = 0;
  size_t attained = 0;
  for (const auto& [name, each] : aScore.mClasses) {
    asked += each.mAsked;
    attained += each.mAttained;
  }
  return static_cast<double>(attained) / static_cast<double>(asked);
}

} // namespace

Test(gates, nothing_is_lost_doubled_or_misreported)
{
  for (const std::string& name : TraceNames(TREFOILARCH_TRACES)) {
    const Score score = ReplayNamed(name);
    cr_assert_eq(score.mLost, 0, "%s", name.c_str());
    cr_assert_eq(score.mTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mRunTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mFalseNo, 0, "%s", name.c_str());
  }
}

/** At twice what the engines can do, who is most urgent is served, and who is
 * refused is told at once. */
Test(gates, overload_falls_on_the_least_urgent)
{
  const Score score = ReplayNamed("morning_bookings");
  cr_expect_geq(score.mClasses.at("mid_call").Completion(), 0.99);
  cr_expect_geq(score.mClasses.at("booking").Completion(), 0.99);
  const ClassScore& pages = score.mClasses.at("public");
  cr_expect_lt(pages.Completion(), score.mClasses.at("guidance").Completion());
  cr_expect_lt(Quantile(pages.mRefusedAfter, 0.5), 100);
}

/** The way in use against round robin, least load and affinity alone.
 * Measured, in time of all asked: 0.979, 0.593, 0.458 and 0.114; prompt tokens
 * read, in millions: 3.02, 4.59, 4.26 and 1.21. */
Test(gates, placement_by_work_beats_the_simpler_ways)
{
  const Trace trace = LongHistories();
  const Score chosen = Replay(trace, GatesWith());
  const Score rotating = Replay(trace, GatesWith(RoundRobin()));
  const Score leastLoad = Replay(trace, GatesWith(LeastLoad()));
  const Score affinity = Replay(trace, GatesWith(AffinityAlone()));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(rotating));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(leastLoad));
  cr_expect_gt(AttainmentOf(chosen), AttainmentOf(affinity));
  cr_expect_gt(AttainmentOf(chosen), 0.95);
  cr_expect_lt(chosen.mPrefilled, leastLoad.mPrefilled * 4 / 5);
}

/** Four entries that tell each other what they send, against four that each
 * know their own requests alone. */
Test(gates, entries_that_hear_each_other_serve_more_in_time)
{
  const Trace trace = LongHistories();
  const Score alone = Replay(trace, GatesWith());
  const Score together = Replay(trace, GatesWith({}, true));
  cr_expect_geq(AttainmentOf(together), AttainmentOf(alone));
  cr_expect_leq(together.mPrefilled, alone.mPrefilled);
}

/** The same overload as above, by what entries know of each other. */
Test(gates, overload_falls_on_the_least_urgent_where_entries_hear_each_other)
{
  const Score score = Replay(ReadTrace(TREFOILARCH_TRACES, "morning_bookings"),
                             GatesWith({}, true));
  cr_expect_geq(score.mClasses.at("mid_call").Completion(), 0.99);
  cr_expect_geq(score.mClasses.at("booking").Completion(), 0.99);
  cr_expect_eq(score.mTwice, 0);
  cr_expect_eq(score.mFalseNo, 0);
}
