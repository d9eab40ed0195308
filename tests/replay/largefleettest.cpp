#include "replayrun.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdint>
#include <random>

using namespace replay;
using trefoilarch::RequestClass;

/** Tests of a hundred entries in front of 160 engines. Each entry handles one
 * request in a hundred and receives late updates from some of the others. */
namespace {

RequestClass
ClassOf(const char* aName,
        trefoilarch::Tier aTier,
        int64_t aTarget,
        int64_t aBetween)
{
  return { .mName = aName,
           .mTier = aTier,
           .mFirstTokenTarget = Millis(aTarget),
           .mBetweenTokenTarget = Millis(aBetween),
           .mDeadline = Millis(8000) };
}

/** Request sizes of one class and its share of the load. */
struct Kind
{
  const char* mName;
  double mShare;
  uint32_t mPromptTokens;
  uint32_t mSharedTokens;
  uint32_t mOutputTokens;
};

constexpr std::array kKinds{
  Kind{ .mName = "guide",
        .mShare = 0.1,
        .mPromptTokens = 700,
        .mSharedTokens = 160,
        .mOutputTokens = 280 },
  Kind{ .mName = "answer",
        .mShare = 0.53,
        .mPromptTokens = 2400,
        .mSharedTokens = 560,
        .mOutputTokens = 22 },
  Kind{ .mName = "draft",
        .mShare = 0.37,
        .mPromptTokens = 9200,
        .mSharedTokens = 6300,
        .mOutputTokens = 52 },
};

/** Engines with fast prefill and few slots. */
standin::BatchOptions
FewSlots()
{
  standin::BatchOptions batch = ReplayBatch();
  batch.mMaxRunning = 16;
  batch.mMemoryTokens = 330000;
  batch.mCacheBlocks = 15000;
  batch.mStepMillis = 4.4;
  batch.mSequenceMillis = 0.11;
  batch.mPrefillMillis = 0.0107;
  return batch;
}

/** A burst of aPerSecond requests per second for 6 seconds. */
Trace
Burst(double aPerSecond)
{
  constexpr int64_t kDurationMs = 6000;
  constexpr double kMillis = 1000;
  constexpr uint64_t kSessions = 3000;
  Trace trace{ .mName = "burst", .mSeed = 11, .mEntries = 100 };
  trace.mEngines = 160;
  trace.mBatch = FewSlots();
  trace.mClasses = { ClassOf("guide", 0, 400, 50),
                     ClassOf("answer", 1, 500, 80),
                     ClassOf("draft", 2, 1500, 200) };
  std::mt19937_64 random(trace.mSeed);
  std::exponential_distribution<double> gap(aPerSecond / kMillis);
  std::uniform_int_distribution<uint64_t> session(0, kSessions - 1);
  std::discrete_distribution<size_t> kind(
    { kKinds[0].mShare, kKinds[1].mShare, kKinds[2].mShare });
  for (double at = 0; at < kDurationMs; at += gap(random)) {
    const size_t which = kind(random);
    const Kind& each = kKinds[which];
    trace.mRequests.push_back({ .mAt = Millis(static_cast<int64_t>(at)),
                                .mClass = each.mName,
                                .mWorkspace = "w",
                                .mPrefix = which * kSessions + session(random),
                                .mPrefixTokens = each.mSharedTokens,
                                .mPromptTokens = each.mPromptTokens,
                                .mOutputTokens = each.mOutputTokens });
  }
  return trace;
}

Score
ReplayLarge(const Trace& aTrace)
{
  return Replay(aTrace,
                [](VirtualTime& aTime, const Trace& aAll, CallerHooks aHooks) {
                  return MakeGateRouter(aTime,
                                        aAll,
                                        std::move(aHooks),
                                        { .mSendsPeerUpdates = true,
                                          .mMaxUpdatedPeers = 40,
                                          .mPeerUpdateInterval = Millis(640) });
                });
}

double
AttainmentOf(const Score& aScore, const char* aClass)
{
  const ClassScore& score = aScore.mClasses.at(aClass);
  return static_cast<double>(score.mAttained) /
         static_cast<double>(score.mRequestCount);
}

} // namespace

/** With more requests than the engines have slots, the most urgent class is
 * served, and meets its targets at least as often as the least urgent. */
Test(largefleet, an_overload_of_slots_falls_on_the_least_urgent, .timeout = 120)
{
  const Score score = ReplayLarge(Burst(4200));
  cr_log_info("in time: %.3f %.3f %.3f",
              AttainmentOf(score, "guide"),
              AttainmentOf(score, "answer"),
              AttainmentOf(score, "draft"));
  cr_expect_geq(score.mClasses.at("guide").Completion(), 0.99);
  cr_expect_geq(AttainmentOf(score, "guide"), AttainmentOf(score, "draft"));
  cr_expect_eq(score.mEndedTwice, 0);
  cr_expect_eq(score.mFalseNotRun, 0);
}

/** At half of the engines' capacity no request is delayed. */
Test(largefleet, a_usual_load_is_served_in_time, .timeout = 120)
{
  const Score score = ReplayLarge(Burst(1500));
  for (const Kind& each : kKinds) {
    cr_expect_geq(AttainmentOf(score, each.mName), 0.95, "%s", each.mName);
  }
}
