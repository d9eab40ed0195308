#include "libtrefoilarch/loadtracker.h"
#include "trackedengines.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

using Kind = MemoryVerdict::Kind;

constexpr double kPrefillPerMs = 32;

/** What an entry's requests use at e0. */
LoadUpdate
MemoryUpdate(uint64_t aProcess, uint64_t aSequence, uint32_t aTokens)
{
  return { .mFrom = "there",
           .mProcess = aProcess,
           .mSequence = aSequence,
           .mMemory = { { .mUpstream = "e0", .mTokens = aTokens } } };
}

} // namespace

/** Guards against parts that act on services that are served well without. */
Test(loadtracker, parts_are_on_where_contention_is_stated_or_always_or_never)
{
  for (const bool states : { false, true }) {
    for (const PartMode mode :
         { PartMode::Auto, PartMode::On, PartMode::Off }) {
      Tracked tracked(mode);
      if (states) {
        tracked.mTracker.OnContention("e0", 1.2, Millis(0));
      }
      const bool on =
        mode == PartMode::On || (mode == PartMode::Auto && states);
      cr_expect(tracked.mTracker.UsesPerformance("llm") == on);
      cr_expect(tracked.mTracker.UsesMemory("llm") == on);
      cr_expect(tracked.mTracker.UsesShares("llm") == on);
      cr_expect(tracked.mTracker.UsesMemory("other") == (mode == PartMode::On));
      cr_expect(tracked.Fitting(kCapacity, Millis(0)).empty() == on);
    }
  }
}

/** Guards against a preemption because a full engine is sent a request. */
Test(loadtracker, engines_without_memory_are_no_candidates)
{
  Tracked tracked;
  const BoundRequest large = tracked.Request(15000);
  tracked.mTracker.OnSent(large, Tracked::Attempt(large, 1, "e1"), Millis(0));
  const std::vector<UpstreamId> others{ "e0", "e2" };
  cr_expect(tracked.Fitting(9000, Millis(1)) == others);
  cr_expect(tracked.mVerdict->mKind == Kind::Fits);
  cr_expect(tracked.Fitting(kCapacity + 1, Millis(1)).empty());
  cr_expect(tracked.mVerdict->mKind == Kind::TooLarge);
  tracked.mTracker.OnEnded(Tracked::Attempt(large, 1, "e1"), false, Millis(2));
  cr_expect(tracked.Fitting(9000, Millis(3)).size() == 3);
}

/** Guards against modest workspaces that pay for one at ten times its share. */
Test(loadtracker, only_the_workspace_over_its_share_is_refused_under_pressure)
{
  Tracked tracked;
  size_t refusedGreedy = 0;
  size_t refusedModest = 0;
  // The engines take 40 requests in 100 ms; 100 arrive, 9 of them modest.
  size_t admitted = 0;
  // No share applies in the first 5 s.
  for (int64_t each = 0; each < 9000; ++each) {
    const Millis now(each);
    const bool modest = each % 11 == 0;
    admitted = each % 100 == 0 ? 0 : admitted;
    const ShareVerdict verdict = tracked.mTracker.CheckShare(
      tracked.Request(500, modest ? "modest" : "greedy", now),
      kPrefillPerMs,
      admitted > 40 ? 2 : 0.8,
      now);
    admitted += verdict.mAdmitted ? 1 : 0;
    (modest ? refusedModest : refusedGreedy) += verdict.mAdmitted ? 0 : 1;
    cr_expect(verdict.mAdmitted || verdict.mReturnAfter > Millis(0));
    cr_expect(verdict.mReturnAfter <= Millis(5000));
  }
  cr_expect(refusedGreedy > 1000, "%zu", refusedGreedy);
  cr_expect(refusedModest == 0, "%zu", refusedModest);
}

/** Guards against updates that count after a newer one of their process. */
Test(loadtracker, late_and_doubled_updates_are_ignored_but_not_a_new_process)
{
  Tracked tracked;
  tracked.mTracker.SetEntries(2);
  const auto fits = [&](Millis aNow) {
    return tracked.Fitting(9000, aNow).size() == 3;
  };
  tracked.mTracker.OnUpdate(MemoryUpdate(7, 5, 18000), Millis(0));
  cr_expect(!fits(Millis(1)));
  tracked.mTracker.OnUpdate(MemoryUpdate(7, 4, 0), Millis(2));
  tracked.mTracker.OnUpdate(MemoryUpdate(7, 5, 0), Millis(3));
  cr_expect(!fits(Millis(4)));
  tracked.mTracker.OnUpdate(MemoryUpdate(8, 1, 0), Millis(5));
  cr_expect(fits(Millis(3000)));
  // A doubled update of a dead process doesn't prolong what it reported.
  tracked.mTracker.OnUpdate(MemoryUpdate(8, 2, 18000), Millis(3001));
  tracked.mTracker.OnUpdate(MemoryUpdate(8, 2, 18000), Millis(6000));
  cr_expect(!fits(Millis(6000)));
  cr_expect(fits(Millis(6002)));
}

/** Guards against a placement that ignores speeds heard from others. */
Test(loadtracker, heard_speeds_set_the_factor_of_candidates)
{
  for (const PartMode mode : { PartMode::On, PartMode::Off }) {
    Tracked tracked(mode);
    const auto report = [](const char* aUpstream, double aFactor) {
      return UpstreamPerformanceReport{ .mUpstream = aUpstream,
                                        .mSpeedFactor = aFactor,
                                        .mSamples = 200 };
    };
    tracked.mTracker.OnUpdate({ .mFrom = "there",
                                .mProcess = 7,
                                .mSequence = 1,
                                .mPerformance = { report("e0", 0.5),
                                                  report("e1", 1),
                                                  report("e2", 2) } },
                              Millis(0));
    tracked.mTracker.TakeUpdate(Millis(1000));
    std::vector<PlacementCandidate> candidates = tracked.Candidates();
    tracked.mTracker.Describe("llm", candidates, Millis(1000));
    const int on = mode == PartMode::On ? 1 : 0;
    cr_expect((candidates[0].mWorkFactor < 0.7) == (on == 1));
    cr_expect((candidates[2].mWorkFactor > 1.5) == (on == 1));
  }
}

/** Guards against memory that stays counted: an answer of one token has no
 * planned output. */
Test(loadtracker, the_memory_of_an_answer_of_one_token_is_released)
{
  Tracked tracked;
  BoundRequest request = tracked.Request(15000);
  request.mPrompt.mExpectedOutput = 0;
  request.mPrompt.mMaxOutput = 1;
  const PlacedAttempt attempt = Tracked::Attempt(request, 1, "e1");
  tracked.mTracker.OnSent(request, attempt, Millis(0));
  cr_assert(tracked.Fitting(9000, Millis(1)).size() == 2);
  tracked.mTracker.OnEnded(attempt, true, Millis(2));
  cr_expect(tracked.Fitting(9000, Millis(3)).size() == 3);
}

/** Guards against state that an entry without others never removes. */
Test(loadtracker, a_request_without_an_end_is_forgotten_without_updates)
{
  Tracked tracked;
  const BoundRequest lost = tracked.Request(15000);
  tracked.mTracker.OnSent(lost, Tracked::Attempt(lost, 1, "e1"), Millis(0));
  const BoundRequest next = tracked.Request(100);
  tracked.mTracker.OnSent(
    next, Tracked::Attempt(next, 2, "e0"), Millis(301000));
  cr_expect(tracked.Fitting(9000, Millis(301001)).size() == 3);
}

/** Guards against a margin for what others sent in half a second, in a fleet
 * whose entries report every two seconds. */
Test(loadtracker, the_margin_covers_the_interval_of_updates_in_a_large_fleet)
{
  const auto mostTokens = [](size_t aEntries) {
    Tracked tracked;
    tracked.mTracker.SetEntries(aEntries);
    tracked.mTracker.OnUpdate({ .mFrom = "there", .mSequence = 1 }, Millis(0));
    const BoundRequest sent = tracked.Request(20);
    tracked.mTracker.OnSent(sent, Tracked::Attempt(sent, 1, "e0"), Millis(0));
    uint32_t most = 0;
    const auto fits = [&](uint32_t aTokens) {
      const auto fitting = tracked.Fitting(aTokens, Millis(1000));
      return tracked.mVerdict->mKind == Kind::Fits && !fitting.empty() &&
             fitting.front() == "e0";
    };
    while (fits(most + 100)) {
      most += 100;
    }
    return most;
  };
  const uint32_t small = mostTokens(41);
  const uint32_t large = mostTokens(42);
  cr_expect(large > 0 && small > large + 500, "%u %u", small, large);
}
