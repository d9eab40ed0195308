#include "libtrefoilarch/enginememory/enginememory.h"
#include "virtualmemoryfleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

using Kind = MemoryVerdict::Kind;

constexpr uint32_t kCapacity = 20000;

MemoryUse
Use(uint64_t aAttempt, uint32_t aPrompt, uint32_t aOutput)
{
  return { .mUpstream = "e",
           .mAttempt = aAttempt,
           .mPromptTokens = aPrompt,
           .mExpectedOutput = aOutput,
           .mRoute = "r" };
}

MemoryRequest
Request(uint64_t aAttempt, uint32_t aPrompt, uint8_t aTier)
{
  return { .mAttempt = aAttempt,
           .mService = "s",
           .mRoute = "r",
           .mPromptTokens = aPrompt,
           .mExpectedOutput = 100,
           .mTier = aTier,
           .mFirstTokenLeft = Millis(1000),
           .mTimeLeft = Millis(6000) };
}

MemoryVerdict
Decide(EngineMemory& aMemory, const MemoryRequest& aRequest)
{
  return aMemory.Decide({ { "e", kCapacity, 6.25 } }, aRequest, Millis(0));
}

int64_t
Used(const EngineMemory& aMemory, Millis aNow)
{
  return aMemory.RoomAt("e", kCapacity, aNow).mUsed;
}

/** A length from one of three distributions of that mean: even, two lengths, or
 * exponential. */
uint32_t
Length(std::mt19937& aRandom, int aShape, double aMean)
{
  const double draw = (static_cast<double>(aRandom() % 10000) + 0.5) / 10000;
  const double twoLengths = draw < 0.5 ? 0.2 : 1.8;
  const double factor = aShape == 0   ? 2 * draw
                        : aShape == 1 ? twoLengths
                                      : -std::log(draw);
  return static_cast<uint32_t>(1 + aMean * factor);
}

/** Fills an engine; returns whether its requests will need more than it holds.
 */
bool
Overflows(std::mt19937& aRandom, int aShape, double aMean, double aDeviations)
{
  EngineMemory memory({ .mMarginDeviations = aDeviations });
  for (uint64_t learnt = 1; learnt <= 600; ++learnt) {
    memory.OnSent(Use(learnt, 50, 0), Millis(0));
    memory.OnOutput("e", learnt, Length(aRandom, aShape, aMean));
    memory.OnEnded("e", learnt, Millis(0));
  }
  int64_t needed = 0;
  MemoryRequest request = Request(1000, 50, 0);
  while (Decide(memory, request).mKind == Kind::Fits) {
    const uint32_t length = Length(aRandom, aShape, aMean);
    const uint32_t soFar = aRandom() % static_cast<uint32_t>(2 * aMean);
    if (soFar >= length) {
      continue;
    }
    needed += 50 + length;
    memory.OnSent(Use(request.mAttempt, 50, 0), Millis(0));
    memory.OnOutput("e", request.mAttempt, soFar);
    ++request.mAttempt;
  }
  return needed > kCapacity;
}

MemoryFigures
Run(MemoryFleetOptions aOptions)
{
  return VirtualMemoryFleet(std::move(aOptions)).Run();
}

} // namespace

/** The margin is the 0.99 quantile of what was sent; without it, every second
 * full engine overflows. */
Test(enginememory, full_engines_rarely_overflow_whatever_lengths_answers_have)
{
  int trials = 0;
  int overflows = 0;
  int withoutMargin = 0;
  const bool holds = rc::check([&] {
    std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
    const int shape = *rc::gen::inRange(0, 3);
    const double mean = *rc::gen::inRange(50, 400);
    for (int trial = 0; trial < 20; ++trial) {
      ++trials;
      overflows += Overflows(random, shape, mean, 2.58) ? 1 : 0;
      withoutMargin += Overflows(random, shape, mean, 0) ? 1 : 0;
    }
  });
  cr_expect(holds && overflows * 100 <= trials, "%d/%d", overflows, trials);
  cr_expect(withoutMargin * 5 >= trials, "%d/%d", withoutMargin, trials);
}

/** Bad figures must neither crash nor leave tokens behind. */
Test(enginememory, nothing_stays_counted_after_any_order_of_events)
{
  const bool holds = rc::check([] {
    EngineMemory memory;
    Millis now(0);
    const auto tokens = rc::gen::element<uint32_t>(0, 7, 5000, UINT32_MAX);
    for (int step = *rc::gen::inRange(1, 100); step > 0; --step) {
      now += Millis(*rc::gen::inRange(0, 400));
      const auto attempt = *rc::gen::inRange<uint64_t>(0, 6);
      MemoryUse use = Use(attempt, *tokens, *tokens);
      use.mShared = { { 1, *tokens }, { attempt, *tokens }, { 1, *tokens } };
      MemoryRequest request = Request(attempt, *tokens, attempt % 4);
      request.mTimeLeft = Millis(*rc::gen::inRange(-9, 9000));
      const double tokenMs = *rc::gen::element(NAN, INFINITY, -1.0, 0.0, 9.0);
      memory.SetEntries(*tokens, *tokens);
      memory.OnSent(use, now);
      memory.OnOutput("e", *rc::gen::inRange<uint64_t>(0, 6), *tokens);
      memory.OnPeerReport("p", { "e", *tokens, *tokens }, now);
      const auto verdict =
        memory.Decide({ { "e", *tokens, tokenMs } }, request, now);
      RC_ASSERT(verdict.mRetryAfter * 3 <=
                std::max(Millis(0), request.mTimeLeft));
      memory.OnEnded("e", *rc::gen::inRange<uint64_t>(0, 6), now);
    }
    for (uint64_t attempt = 0; attempt < 6; ++attempt) {
      memory.OnEnded("e", attempt, now);
    }
    now += Millis(60000);
    memory.Expire(now);
    memory.SetEntries(1, 0);
    RC_ASSERT(memory.RoomAt("e", kCapacity, now) ==
              MemoryRoom{ .mFree = kCapacity });
  });
  cr_expect(holds);
}

Test(enginememory, a_shared_segment_counts_once_and_while_others_may_use_it)
{
  EngineMemory memory;
  for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
    MemoryUse use = Use(attempt, 100, 10);
    use.mShared = { { 77, 6300 } };
    memory.OnSent(use, Millis(0));
  }
  cr_expect(Used(memory, Millis(0)) == 6600);
  cr_expect(memory.TakeReports(9, Millis(0)).front().mTokens == 300);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
    memory.OnEnded("e", attempt, Millis(0));
  }
  cr_expect(Used(memory, Millis(0)) == 0, "it can be evicted");
  memory.OnPeerReport("p", { "e", 500, 0 }, Millis(0));
  cr_expect(Used(memory, Millis(0)) == 6800);
}

Test(enginememory, silent_peers_expire_and_unheard_ones_are_extrapolated)
{
  EngineMemory memory;
  memory.SetEntries(5, 2);
  memory.OnPeerReport("p", { "e", 500, 0 }, Millis(0));
  memory.OnPeerReport("q", { "e", 1000, 0 }, Millis(2000));
  memory.OnPeerReport("q", { "e", 1000, 0 }, Millis(2000));
  cr_expect(Used(memory, Millis(2000)) == 3000, "1,500 of 2 stand for 4");
  memory.Expire(Millis(3001));
  cr_expect(Used(memory, Millis(3001)) == 2000);
}

/** An entry that hears no one must not act as if engines were empty, nor stop.
 */
Test(enginememory, an_entry_that_is_cut_off_uses_its_share)
{
  EngineMemory memory;
  memory.SetEntries(10, 0);
  const std::vector<MemoryCandidate> candidates(3, { "e", kCapacity, 6 });
  const auto decide = [&](uint64_t aAttempt) {
    return memory.Decide(candidates, Request(aAttempt, 4000, 2), Millis(0));
  };
  cr_expect(decide(1).mKind == Kind::Fits, "within the share of all three");
  memory.OnSent(Use(1, 4000, 100), Millis(0));
  cr_expect(decide(2).mKind == Kind::Return);
}

/** Guards against urgent requests that are refused, less urgent ones that are
 * refused late, and room that is lost to less urgent requests. */
Test(enginememory, tiers_decide_who_waits_at_a_full_engine)
{
  EngineMemory memory;
  cr_expect(Decide(memory, Request(1, 20001, 0)).mKind == Kind::TooLarge);
  cr_expect(Decide(memory, Request(1, 19900, 2)).mKind == Kind::Fits,
            "an empty engine takes what it holds");
  for (uint64_t attempt = 1; attempt <= 9; ++attempt) {
    memory.OnSent(Use(attempt, 1900, 100), Millis(0));
  }
  const auto middle = Decide(memory, Request(20, 2000, 1));
  cr_expect(middle.mKind == Kind::Wait);
  cr_expect(middle.mUntil > Millis(0) && middle.mUntil <= Millis(500));
  const auto least = Decide(memory, Request(21, 2000, 2));
  cr_expect(least.mKind == Kind::Return);
  cr_expect(least.mRetryAfter > Millis(0) && least.mRetryAfter <= Millis(2000));
  cr_expect(Decide(memory, Request(22, 0, 2)).mKind != Kind::Fits,
            "the middle one needs the rest");
  cr_expect(Decide(memory, Request(23, 300, 0)).mKind == Kind::Fits);
  memory.OnSent(Use(10, 800, 100), Millis(0));
  cr_expect(Decide(memory, Request(24, 300, 0)).mKind == Kind::Queue);
  cr_expect(Decide(memory, Request(25, 2000, 0)).mKind == Kind::Wait,
            "too much to queue at the engine");
  memory.OnGivenUp(20);
  memory.OnGivenUp(25);
  memory.OnEnded("e", 1, Millis(0));
  cr_expect(Decide(memory, Request(22, 0, 2)).mKind == Kind::Fits);
}

/** Summaries come faster than engines read them, so that memory fills. */
Test(enginememory, no_engine_of_k_is_overfilled_while_another_has_room)
{
  MemoryFleetOptions options{ .mRoutes = RoutesOfK() };
  const MemoryFigures counted = Run(options);
  cr_expect(counted.mOverfilled == 0, "%ld", counted.mOverfilled);
  cr_expect(counted.mPreempted == 0, "%ld", counted.mPreempted);
  options.mMethod = MemoryMethod::None;
  const MemoryFigures uncounted = Run(options);
  cr_expect(uncounted.mOverfilled > 100 && uncounted.mPreempted > 100);
  cr_expect(counted.mSent * 10 >= uncounted.mSent * 9,
            "the margin must not idle engines: %ld of %ld",
            counted.mSent,
            uncounted.mSent);
}

/** With 24 workspaces, the reports leave out most of the shared segments. */
Test(enginememory, segments_that_only_others_use_hardly_overfill_engines)
{
  MemoryFleetOptions options{ .mRoutes = RoutesOfK(), .mWorkspaces = 24 };
  const MemoryFigures counted = Run(options);
  options.mMethod = MemoryMethod::None;
  const MemoryFigures uncounted = Run(options);
  cr_expect(counted.mPreempted * 10 <= uncounted.mPreempted,
            "%ld of %ld",
            counted.mPreempted,
            uncounted.mPreempted);
  cr_expect(counted.mOverfilled * 10 <= uncounted.mOverfilled,
            "%ld of %ld",
            counted.mOverfilled,
            uncounted.mOverfilled);
}

/** Narrations with prompts of 1,500 tokens fill the memory before the slots. */
Test(enginememory, no_urgent_stream_is_preempted_by_memory)
{
  MemoryFleetOptions options{ .mRoutes = LongNarrations() };
  cr_expect(Run(options).mUrgentPreempted == 0);
  options.mFaultPercent = 10;
  cr_expect(Run(options).mUrgentPreempted == 0, "updates lost, late, doubled");
  options.mMethod = MemoryMethod::None;
  cr_expect(Run(options).mUrgentPreempted > 100);
}

/** An entry that dies releases memory at once but is counted for 3 s; one that
 * is cut off is not seen by the others. Neither may bring back the preemptions,
 * nor stop the service. */
Test(enginememory, lost_entries_hardly_overfill_engines)
{
  MemoryFleetOptions options{ .mRoutes = RoutesOfK(),
                              .mFaultPercent = 10,
                              .mEntryFaults = true };
  const MemoryFigures counted = Run(options);
  options.mMethod = MemoryMethod::None;
  const MemoryFigures uncounted = Run(options);
  cr_expect(counted.mUrgentPreempted == 0);
  cr_expect(counted.mPreempted * 10 <= uncounted.mPreempted,
            "%ld of %ld",
            counted.mPreempted,
            uncounted.mPreempted);
  cr_expect(counted.mSent * 10 >= uncounted.mSent * 9);
}

/** Guards against a preemption at an entry that hears no others: a cached
 * segment that no request uses counts once a request uses it. */
Test(enginememory, a_request_needs_memory_for_cached_segments_not_in_use)
{
  const PromptSegment shared{ .mId = 1, .mTokens = 6300 };
  EngineMemory memory;
  MemoryUse first = Use(1, 100, 100);
  first.mShared = { shared };
  memory.OnSent(first, Millis(0));
  MemoryRequest request = Request(3, 100, 2);
  request.mShared = { shared };
  // With a request that uses the segment the two of them fit, without it not.
  memory.OnSent(Use(2, 12000, 100), Millis(0));
  cr_expect(Decide(memory, request).mKind == Kind::Fits);
  memory.OnEnded("e", 1, Millis(0));
  memory.OnSent(Use(4, 1400, 100), Millis(0));
  cr_expect(Decide(memory, request).mKind == Kind::Return);
  cr_expect(Decide(memory, Request(3, 100, 2)).mKind == Kind::Fits);
}
