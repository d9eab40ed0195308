#include "replayrun.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdint>
#include <random>

using namespace replay;
using trefoilarch::RequestClass;

/** A hundred entries before 160 engines, each of which sees one request in
 * a hundred and hears some of the others, late. */
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

/** Sizes of one class of requests, and its part of the load. */
struct Kind
{
  const char* mName;
  double mPart;
  uint32_t mPromptTokens;
  uint32_t mSharedTokens;
  uint32_t mOutputTokens;
};

constexpr std::array kKinds{
  Kind{ .mName = "guide",
        .mPart = 0.1,
        .mPromptTokens = 700,
        .mSharedTokens = 160,
        .mOutputTokens = 280 },
  Kind{ .mName = "answer",
        .mPart = 0.53,
        .mPromptTokens = 2400,
        .mSharedTokens = 560,
        .mOutputTokens = 22 },
  Kind{ .mName = "draft",
        .mPart = 0.37,
        .mPromptTokens = 9200,
        .mSharedTokens = 6300,
        .mOutputTokens = 52 },
};

/** Engines that read quickly and have few slots. */
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

/** A load of that many requests a second in a burst of some seconds. */
Trace
Burst(double aPerSecond)
{
  constexpr int64_t kSpan = 6000;
  constexpr double kMillis = 1000;
  constexpr uint64_t kSessions = 3000;
  Trace trace{ .mName = "burst", .mSeed = 11, .mEntries = 100 };
  trace.mEngines = 160;
  trace.mBatch = FewSlots();
  trace.mClasses = { ClassOf("guide", 0, 400, 50),
                     ClassOf("answer", 1, 500, 80),
                     ClassOf("draft", 2, 1500, 200) };
  std::mt19937_64 random(trace.mSeed);
  std::exponential_distribution<double> pause(aPerSecond / kMillis);
  std::uniform_int_distribution<uint64_t> session(0, kSessions - 1);
  std::discrete_distribution<size_t> kind(
    { kKinds[0].mPart, kKinds[1].mPart, kKinds[2].mPart });
  for (double at = 0; at < kSpan; at += pause(random)) {
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
  return Replay(
    aTrace, [](VirtualTime& aTime, const Trace& aAll, CallerHooks aHooks) {
      return MakeGates(
        aTime,
        aAll,
        std::move(aHooks),
        { .mPeers = true, .mMostTold = 40, .mTellSpan = Millis(640) });
    });
}

double
InTime(const Score& aScore, const char* aClass)
{
  const ClassScore& score = aScore.mClasses.at(aClass);
  return static_cast<double>(score.mAttained) /
         static_cast<double>(score.mAsked);
}

} // namespace

/** At more than the engines' slots can hold, the most urgent class is served,
 * and in time at least as often as the least urgent. */
Test(largefleet, an_overload_of_slots_falls_on_the_least_urgent, .timeout = 120)
{
  const Score score = ReplayLarge(Burst(4200));
  cr_log_info("in time: %.3f %.3f %.3f",
              InTime(score, "guide"),
              InTime(score, "answer"),
              InTime(score, "draft"));
  cr_expect_geq(score.mClasses.at("guide").Completion(), 0.99);
  cr_expect_geq(InTime(score, "guide"), InTime(score, "draft"));
  cr_expect_eq(score.mTwice, 0);
  cr_expect_eq(score.mFalseNo, 0);
}

/** At half of what the engines can do, nobody waits. */
Test(largefleet, a_usual_load_is_served_in_time, .timeout = 120)
{
  const Score score = ReplayLarge(Burst(1500));
  for (const Kind& each : kKinds) {
    cr_expect_geq(InTime(score, each.mName), 0.95, "%s", each.mName);
  }
}
