#include "libtrefoilarch/loadtracker.h"
#include "libtrefoilarch/directrouter.h"

#include <criterion/criterion.h>
#include <memory>

using namespace trefoilarch;

namespace {

using Kind = MemoryVerdict::Kind;

constexpr uint32_t kCapacity = 20000;
constexpr double kPrefillPerMs = 32;

RoutePolicy
MakePolicy()
{
  RoutePolicy policy{ .mVersion = 1 };
  policy.mRoutes = { { .mName = "chat",
                       .mHost = "h",
                       .mPathPrefix = "/chat/",
                       .mRetryMode = RetryMode::Idempotent,
                       .mStream = true,
                       .mTimeout = Millis(15000),
                       .mTargets = { { .mService = "llm" } } },
                     { .mName = "plain",
                       .mHost = "h",
                       .mPathPrefix = "/plain/",
                       .mTargets = { { .mService = "plain" } } } };
  policy.mServices["llm"] = { .mName = "llm",
                              .mEngine =
                                EngineTraits{ .mSlots = 64,
                                              .mMemoryTokens = kCapacity,
                                              .mTokensPerEvent = 4 } };
  policy.mServices["plain"] = { .mName = "plain" };
  return policy;
}

/** A tracker of the engines e0, e1 and e2 of a service. */
struct Tracked
{
  explicit Tracked(PartMode aMode = PartMode::On)
    : mTracker({ .mName = "here",
                 .mProcess = 1,
                 .mUpstreamPerformance = aMode,
                 .mEngineMemory = aMode,
                 .mFairShares = aMode })
  {
    for (const char* each : { "e0", "e1", "e2" }) {
      mListed.push_back({ .mId = each, .mService = "llm", .mSlots = 64 });
      mTracker.OnListed(mListed.back(), Millis(0));
    }
  }

  BoundRequest Request(uint32_t aTokens,
                       const std::string& aWorkspace = "w",
                       Millis aNow = Millis(0)) const
  {
    return { .mIndex = mIndex,
             .mRoute = &mIndex->Policy().mRoutes.front(),
             .mService = "llm",
             .mWorkspace = aWorkspace,
             .mPrompt = { .mPromptTokens = aTokens, .mExpectedOutput = 100 },
             .mArrivedAt = aNow,
             .mDeadline = aNow + Millis(15000) };
  }

  static PlacedAttempt Attempt(const BoundRequest& aRequest,
                               uint64_t aNumber,
                               const UpstreamId& aUpstream)
  {
    return { .mNumber = aNumber,
             .mUpstream = aUpstream,
             .mService = "llm",
             .mRoute = "chat",
             .mWork = { .mPrefill = aRequest.mPrompt.mPromptTokens,
                        .mOutput = aRequest.mPrompt.PlannedOutput() } };
  }

  std::vector<PlacementCandidate> Candidates() const
  {
    std::vector<PlacementCandidate> all;
    for (const ListedUpstream& each : mListed) {
      all.push_back({ .mListed = &each, .mWork = &mWork });
    }
    return all;
  }

  /** The engines with memory for the request. */
  std::vector<UpstreamId> Fitting(uint32_t aTokens, Millis aNow)
  {
    std::vector<PlacementCandidate> candidates = Candidates();
    mVerdict = mTracker.CheckMemory(Request(aTokens), 999, candidates, aNow);
    std::vector<UpstreamId> fitting;
    fitting.reserve(candidates.size());
    for (const PlacementCandidate& each : candidates) {
      fitting.push_back(each.mListed->mId);
    }
    return fitting;
  }

  std::shared_ptr<const RouteIndex> mIndex = std::make_shared<RouteIndex>(
    std::make_shared<const RoutePolicy>(MakePolicy()));
  std::vector<ListedUpstream> mListed;
  UpstreamWork mWork;
  LoadTracker mTracker;
  std::optional<MemoryVerdict> mVerdict;
};

/** What an entry's requests use at e0. */
LoadUpdate
MemoryUpdate(uint64_t aProcess, uint64_t aSequence, uint32_t aTokens)
{
  return { .mFrom = "there",
           .mProcess = aProcess,
           .mSequence = aSequence,
           .mMemory = { { .mUpstream = "e0", .mTokens = aTokens } } };
}

DirectRouter
MakeRouter(PartMode aMode, PlacementCost aCost = {})
{
  DirectRouter router({ .mName = "here",
                        .mPlacementCost = std::move(aCost),
                        .mLoad = { .mUpstreamPerformance = aMode,
                                   .mEngineMemory = aMode,
                                   .mFairShares = aMode } });
  router.SetPolicy(std::make_shared<const RoutePolicy>(MakePolicy()));
  router.ConfirmPolicy(Millis(0));
  for (size_t each = 0; each < 6; ++each) {
    const bool engine = each < 3;
    router.Directory().Put({ .mId = "u" + std::to_string(each),
                             .mService = engine ? "llm" : "plain",
                             .mAddress = "a:" + std::to_string(each),
                             .mSlots = engine ? 64U : 6U,
                             .mStartTime = 1000 });
  }
  router.OnDirectoryChanged(Millis(0));
  router.OnPeerUpdate({ .mFrom = "there", .mProcess = 2, .mSequence = 1 },
                      Millis(0));
  return router;
}

/** The upstream of an arriving request, or why there is none. */
std::string
PlaceOne(DirectRouter& aRouter,
         const std::string& aPath,
         uint32_t aTokens,
         Millis aNow,
         std::vector<PlacedAttempt>& aAttempts,
         const std::string& aKey = "")
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(bound,
                      aRouter.Bind({ .mHost = "h",
                                     .mPath = aPath,
                                     .mKey = aKey,
                                     .mArrivedAt = aNow,
                                     .mPrompt = { .mPromptTokens = aTokens,
                                                  .mMaxOutput = 200 } },
                                   aNow));
      PlacementWait wait;
      auto attempt = aRouter.Place(bound, {}, wait, aNow);
      if (!attempt) {
        return "none";
      }
      aAttempts.push_back(*attempt);
      return attempt->mUpstream;
    },
    [](const Refusal& aRefusal) {
      return "refused " + std::to_string(aRefusal.mRetryAfter.Count());
    },
    [] { return std::string("failed"); });
}

/** Where 60 requests a second for two seconds go, most of them answered: more
 * than the memory of the engines holds. */
std::vector<std::string>
PlacementsOf(DirectRouter& aRouter)
{
  std::vector<std::string> places;
  std::vector<PlacedAttempt> attempts;
  for (int64_t each = 0; each < 120; ++each) {
    const Millis now(1 + each * 16);
    const bool engine = each % 4 != 0;
    const uint32_t tokens = engine ? 700 + each * 10 : 0;
    places.push_back(PlaceOne(
      aRouter, engine ? "/chat/x" : "/plain/x", tokens, now, attempts));
    if (each % 3 == 0 && !attempts.empty()) {
      PlacedAttempt ended = attempts.front();
      attempts.erase(attempts.begin());
      aRouter.OnStarted(ended, now);
      aRouter.OnPause(ended, Millis(30), now);
      aRouter.OnEnded(ended, AttemptOutcome::Good, now);
    }
  }
  return places;
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

/** Guards against a change for services that don't state contention. */
Test(loadtracker, without_stated_contention_the_placement_is_as_without_parts)
{
  DirectRouter automatic = MakeRouter(PartMode::Auto);
  DirectRouter off = MakeRouter(PartMode::Off);
  DirectRouter on = MakeRouter(PartMode::On);
  const std::vector<std::string> expected = PlacementsOf(off);
  cr_expect(PlacementsOf(automatic) == expected);
  cr_expect(PlacementsOf(on) != expected, "the load makes no difference");
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
  for (int64_t each = 0; each < 4000; ++each) {
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

/** Guards against pools for strict streams that start at slow engines. */
Test(loadtracker, heard_speeds_set_the_class_and_factor_of_candidates)
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
    cr_expect(tracked.mTracker.SpeedClass(tracked.mListed[0]) == 2 * on);
    cr_expect(tracked.mTracker.SpeedClass(tracked.mListed[1]) == 0);
    cr_expect(tracked.mTracker.SpeedClass(tracked.mListed[2]) == -2 * on);
    cr_expect((candidates[0].mWorkFactor < 0.7) == (on == 1));
    cr_expect((candidates[2].mSlowness > 1.5) == (on == 1));
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

/** Guards against a new engine that is taken to be as full as the one that ran
 * under its id, and against ends of requests there that free memory twice. */
Test(loadtracker, a_restarted_engine_has_no_requests)
{
  DirectRouter router = MakeRouter(PartMode::On);
  const auto place = [&](Millis aNow) {
    Tracked tracked;
    const BoundRequest request = tracked.Request(15000, "", aNow);
    PlacementWait wait;
    return router.Place(request, { "u1", "u2" }, wait, aNow);
  };
  const std::optional<PlacedAttempt> before = place(Millis(1));
  cr_assert(before.has_value());
  cr_assert(!place(Millis(2)).has_value());
  router.Directory().Put({ .mId = "u0",
                           .mService = "llm",
                           .mAddress = "a:0",
                           .mSlots = 64,
                           .mStartTime = 5000 });
  router.OnDirectoryChanged(Millis(3));
  cr_expect(place(Millis(4)).has_value());
  router.OnEnded(*before, AttemptOutcome::Broken, Millis(5));
  cr_expect(!place(Millis(6)).has_value());
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

/** Guards against answers that are taken to be shorter than they are: their
 * first event holds tokens, too, but no pause precedes it. */
Test(loadtracker, all_events_of_a_stream_count_in_its_memory)
{
  DirectRouter router = MakeRouter(PartMode::On);
  Tracked tracked;
  PlacementWait wait;
  auto attempt =
    router.Place(tracked.Request(1000), { "u1", "u2" }, wait, Millis(0));
  router.OnStarted(*attempt, Millis(10));
  router.OnPause(*attempt, Millis(20), Millis(30));
  const LoadUpdate update = router.Load().TakeUpdate(Millis(40));
  cr_assert(update.mMemory.size() == 1);
  cr_expect(update.mMemory.front().mTokens == 1008,
            "%u",
            update.mMemory.front().mTokens);
}

/** Guards against refusals that cost as much as placements and draw random
 * numbers, which changes later placements. */
Test(loadtracker, requests_refused_for_late_starts_are_not_placed)
{
  size_t calls = 0;
  DirectRouter router =
    MakeRouter(PartMode::Auto,
               [&](const PlacementCandidate&, const PlacementChoice&, Millis) {
                 ++calls;
                 return 0.0;
               });
  std::vector<PlacedAttempt> attempts;
  for (size_t each = 0; each < 6; ++each) {
    PlaceOne(router, "/chat/x", 700, Millis(1), attempts);
  }
  cr_assert(calls > 0);
  router.OnPeerUpdate({ .mFrom = "there", .mProcess = 2, .mSequence = 2 },
                      Millis(1400));
  calls = 0;
  const std::string last =
    PlaceOne(router, "/chat/x", 700, Millis(1500), attempts);
  cr_expect(last.starts_with("refused"), "%s", last.c_str());
  cr_expect(calls == 0, "%zu", calls);
}

/** Guards against a workspace over its share that is served while others' less
 * urgent requests are shed for it. */
Test(loadtracker, less_urgent_requests_do_not_admit_a_workspace_over_its_share)
{
  DirectRouter router = MakeRouter(PartMode::On);
  RoutePolicy policy = router.Index()->Policy();
  policy.mVersion = 2;
  policy.mRoutes.push_back(policy.mRoutes.front());
  policy.mRoutes.back().mName = "bulk";
  policy.mRoutes.back().mPathPrefix = "/bulk/";
  policy.mRoutes.back().mPriority = 2;
  policy.mWorkspaces = { { .mName = "greedy", .mKeys = { "g" } },
                         { .mName = "modest", .mKeys = { "m" } } };
  router.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
  std::vector<PlacedAttempt> attempts;
  const auto place = [&](const char* aPath, const char* aKey, Millis aNow) {
    return PlaceOne(router, aPath, 300, aNow, attempts, aKey);
  };
  // Requests that don't start make the route late.
  for (size_t each = 0; each < 6; ++each) {
    place("/chat/x", "m", Millis(1));
  }
  attempts.clear();
  size_t refusedGreedy = 0;
  size_t refusedBulk = 0;
  for (int64_t each = 0; each < 300; ++each) {
    const Millis now(1500 + each * 5);
    router.OnPeerUpdate({ .mFrom = "there",
                          .mProcess = 2,
                          .mSequence = static_cast<uint64_t>(each + 2) },
                        now);
    if (each % 20 == 0) {
      refusedBulk += place("/bulk/x", "m", now).starts_with("refused") ? 1 : 0;
      place("/chat/x", "m", now);
    }
    refusedGreedy += place("/chat/x", "g", now).starts_with("refused") ? 1 : 0;
    for (const PlacedAttempt& placed : attempts) {
      router.OnEnded(placed, AttemptOutcome::Withdrawn, now);
    }
    attempts.clear();
  }
  cr_expect(refusedGreedy > 100, "%zu", refusedGreedy);
  cr_expect(refusedBulk < 15, "%zu", refusedBulk);
}
