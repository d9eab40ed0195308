#include "libtrefoilarch/requestplan.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

constexpr Millis kTimeout{ 5000 };

Route
MakeRoute(const char* aName, RetryMode aRepeat, uint32_t aAttempts)
{
  return Route{ .mName = aName,
                .mHost = "h",
                .mPathPrefix = std::string("/") + aName + "/",
                .mRetryMode = aRepeat,
                .mStream = aRepeat == RetryMode::Resumable,
                .mTimeout = kTimeout,
                .mTargets = { { .mService = "svc" } },
                .mMaxAttempts = aAttempts };
}

/** A router with a policy, a key and a few upstreams. */
DirectRouter
MakeRouter(size_t aUpstreams, double aRetries = 100)
{
  DirectRouter router({ .mRetries = { .mPercent = 100,
                                      .mInitial = aRetries,
                                      .mMax = aRetries } });
  RoutePolicy policy{ .mVersion = 1 };
  policy.mRoutes = { MakeRoute("once", RetryMode::AtMostOnce, 3),
                     MakeRoute("safe", RetryMode::Idempotent, 3),
                     MakeRoute("resume", RetryMode::Resumable, 3) };
  policy.mWorkspaces = { { .mName = "desk", .mKeys = { "k" } } };
  router.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
  router.ConfirmPolicy(Millis(0));
  for (size_t each = 0; each < aUpstreams; ++each) {
    router.Directory().Put({ .mId = "u" + std::to_string(each),
                             .mService = "svc",
                             .mAddress = "a:" + std::to_string(each) });
  }
  router.OnDirectoryChanged(Millis(0));
  return router;
}

BoundRequest
Bound(DirectRouter& aRouter, const std::string& aPath, Millis aNow = Millis(0))
{
  BoundRequest bound;
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(
        bound,
        aRouter.Bind(
          { .mHost = "h", .mPath = aPath, .mKey = "k", .mArrivedAt = aNow },
          aNow));
      return {};
    },
    [] { cr_assert(false, "not bound"); });
  return bound;
}

/** A request whose first 5,000 prompt tokens belong to a session. */
BoundRequest
BoundSession(DirectRouter& aRouter)
{
  BoundRequest request = Bound(aRouter, "/safe/x");
  request.mPrompt = { .mPromptTokens = 9000,
                      .mSegments = { { .mId = 1, .mTokens = 5000 },
                                     { .mId = 2, .mTokens = 4000 } },
                      .mSharedSegments = 1 };
  return request;
}

ErrorKind
BindError(DirectRouter& aRouter,
          const RequestAttributes& aAttributes,
          Millis aNow)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<ErrorKind> {
      BOOST_LEAF_CHECK(aRouter.Bind(aAttributes, aNow));
      return ErrorKind::Internal;
    },
    [](const Refusal& aRefusal) { return aRefusal.mKind; },
    [] { return ErrorKind::Internal; });
}

Test(directrouter, nothing_is_fetched_from_an_upstream_that_fails)
{
  for (const bool fails : { false, true }) {
    DirectRouter router = MakeRouter(8);
    const BoundRequest request = BoundSession(router);
    const auto first = router.Place(request, {}, Millis(0));
    router.OnEnded(*first, AttemptOutcome::Good, Millis(10));
    for (int64_t each = 0; fails && each < 6; ++each) {
      router.OnEnded(*first, AttemptOutcome::Broken, Millis(20 + each));
    }
    const auto next = router.Place(request, { first->mUpstream }, Millis(30));
    cr_expect(next->mHolderAddress == (fails ? "" : first->mAddress));
  }
}

Test(directrouter, nothing_is_fetched_from_an_upstream_that_is_silent)
{
  for (const bool silent : { false, true }) {
    DirectRouter router = MakeRouter(8);
    const BoundRequest request = BoundSession(router);
    const auto first = router.Place(request, {}, Millis(0));
    if (!silent) {
      router.OnBytesReceived(*first, Millis(1400));
    }
    const auto next = router.Place(request, { first->mUpstream }, Millis(1500));
    cr_expect(next->mHolderAddress == (silent ? "" : first->mAddress));
  }
}

/** The key must still belong to the workspace that is named to the upstream. */
Test(directrouter, a_key_that_changes_workspace_invalidates_waiting_requests)
{
  DirectRouter router = MakeRouter(2);
  const BoundRequest request = Bound(router, "/safe/x");
  cr_expect(router.StillAllowed(request, Millis(10)));
  RoutePolicy policy = router.Index()->Policy();
  policy.mVersion = 2;
  policy.mWorkspaces = { { .mName = "another", .mKeys = { "k" } } };
  router.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
  router.ConfirmPolicy(Millis(20));
  cr_expect(!router.StillAllowed(request, Millis(30)));
}

Test(directrouter, an_upstream_that_has_just_started_is_avoided_while_slow)
{
  DirectRouter router = MakeRouter(1);
  router.Directory().Put({ .mId = "fresh",
                           .mService = "svc",
                           .mAddress = "a:2",
                           .mColdFor = Millis(3000) });
  router.OnDirectoryChanged(Millis(0));
  const auto place = [&](Millis aNow) {
    router.ConfirmPolicy(aNow);
    const auto placed = router.Place(Bound(router, "/safe/x", aNow), {}, aNow);
    router.OnEnded(*placed, AttemptOutcome::Good, aNow);
    return placed->mUpstream;
  };
  for (int64_t now = 0; now < 3000; now += 100) {
    cr_expect(place(Millis(now)) == "u0");
  }
  bool taken = false;
  for (int64_t now = 3000; now < 6000; now += 100) {
    taken = taken || place(Millis(now)) == "fresh";
  }
  cr_expect(taken, "after its slow start");
}

/** How an upstream reacts to an attempt. */
enum class Behaviour
{
  Unreachable,
  NotRun,
  Failed,   /**< a response with a status of 500 */
  Broken,   /**< no response at all */
  CutShort, /**< the response starts and breaks off */
  Good,
  TimeUp,
};

/** The outcome of a request. */
struct Outcome
{
  int mRuns = 0;
  /** A run was started while an earlier one was still possible. */
  bool mSecondRun = false;
  bool mAnswered = false;
  bool mReportedNotRun = false;
  bool mHasRetryAfter = false;
  bool mAborted = false;
  uint32_t mAttempts = 0;
};

Outcome
Play(const std::string& aPath, const std::vector<Behaviour>& aBehaviours)
{
  DirectRouter router = MakeRouter(5);
  RequestPlan plan(router, Bound(router, aPath));
  Outcome outcome;
  Millis now(0);
  PlanStep step = plan.Begin(now);
  size_t next = 0;
  while (const auto* send = std::get_if<SendRequest>(&step)) {
    PlacedAttempt attempt = send->mAttempt;
    const Behaviour behaviour =
      next < aBehaviours.size() ? aBehaviours[next] : Behaviour::Good;
    next++;
    now += Millis(7);
    if (behaviour == Behaviour::Unreachable) {
      router.OnEnded(attempt, AttemptOutcome::Unreachable, now);
      step = plan.OnUnreachable(now);
      continue;
    }
    plan.OnSending();
    if (behaviour == Behaviour::NotRun) {
      router.OnEnded(attempt, AttemptOutcome::Refused, now);
      step = plan.OnNotRun(now);
      continue;
    }
    outcome.mSecondRun = outcome.mSecondRun || outcome.mRuns > 0;
    outcome.mRuns++;
    if (behaviour == Behaviour::TimeUp) {
      router.OnEnded(attempt, AttemptOutcome::Withdrawn, now);
      step = plan.OnTimeUp(kTimeout);
    } else if (behaviour == Behaviour::Failed) {
      step = plan.OnHead(500, now);
      router.OnEnded(attempt, AttemptOutcome::Failed, now);
    } else if (behaviour == Behaviour::Good) {
      step = plan.OnHead(200, now);
      cr_assert(std::holds_alternative<ForwardAnswer>(step));
      router.OnEnded(attempt, AttemptOutcome::Good, now);
    } else {
      if (behaviour == Behaviour::CutShort) {
        step = plan.OnHead(200, now);
        plan.OnAnswerBegun(now);
      }
      router.OnEnded(attempt, AttemptOutcome::Broken, now);
      step = plan.OnBroken(
        plan.Request().mRoute->mRetryMode == RetryMode::Resumable, now);
    }
  }
  outcome.mAttempts = plan.Attempts();
  outcome.mAborted = std::holds_alternative<AbortAnswer>(step);
  outcome.mAnswered = std::holds_alternative<ForwardAnswer>(step);
  if (const auto* refusal = std::get_if<AnswerRefusal>(&step)) {
    const int status = AnswerFor(refusal->mRefusal.mKind).mHttpStatus;
    outcome.mReportedNotRun = status == 429 || status == 503;
    outcome.mHasRetryAfter = refusal->mRefusal.mRetryAfter > Millis(0);
    cr_assert(outcome.mReportedNotRun == (refusal->mRefusal.mRan == Ran::No));
  }
  return outcome;
}

std::vector<Behaviour>
Behaviours(const std::vector<uint8_t>& aRandom)
{
  std::vector<Behaviour> behaviours;
  behaviours.reserve(aRandom.size());
  for (const uint8_t random : aRandom) {
    behaviours.push_back(static_cast<Behaviour>(
      random % (static_cast<int>(Behaviour::TimeUp) + 1)));
  }
  return behaviours;
}

} // namespace

Test(requestplan, a_request_that_may_run_once_never_runs_twice)
{
  const bool holds =
    rc::check("at most one run", [](const std::vector<uint8_t>& aRandom) {
      const Outcome outcome = Play("/once/x", Behaviours(aRandom));
      RC_ASSERT(outcome.mRuns <= 1);
    });
  cr_assert(holds);
}

Test(requestplan, not_run_is_reported_exactly_if_nothing_ran)
{
  const bool holds =
    rc::check("not run is reported exactly if nothing ran",
              [](const std::vector<uint8_t>& aRandom, bool aSafe) {
                const Outcome outcome =
                  Play(aSafe ? "/safe/x" : "/once/x", Behaviours(aRandom));
                RC_ASSERT(!(outcome.mReportedNotRun && outcome.mRuns > 0));
                RC_ASSERT(outcome.mReportedNotRun == outcome.mHasRetryAfter);
              });
  cr_assert(holds);
}

Test(requestplan, attempts_are_limited_by_the_route)
{
  const bool holds =
    rc::check("attempts are bounded",
              [](const std::vector<uint8_t>& aRandom, bool aSafe) {
                const Outcome outcome =
                  Play(aSafe ? "/safe/x" : "/resume/x", Behaviours(aRandom));
                RC_ASSERT(outcome.mRuns <= 3);
                RC_ASSERT(outcome.mAttempts <= 3U);
              });
  cr_assert(holds);
}

Test(requestplan, a_started_response_is_aborted_and_never_rejected)
{
  const Outcome once = Play("/once/x", { Behaviour::CutShort });
  cr_expect(once.mAborted && once.mRuns == 1);
  const Outcome safe = Play("/safe/x", { Behaviour::CutShort });
  cr_expect(safe.mAborted && safe.mRuns == 1);
  const Outcome resumed =
    Play("/resume/x", { Behaviour::CutShort, Behaviour::Broken });
  cr_expect(resumed.mAnswered && resumed.mRuns == 3);
}

Test(requestplan, the_last_upstream_error_is_forwarded)
{
  const Outcome outcome = Play(
    "/safe/x", { Behaviour::Failed, Behaviour::Failed, Behaviour::Failed });
  cr_expect(outcome.mAnswered && outcome.mRuns == 3);
}

Test(requestplan, nothing_is_retried_without_budget)
{
  DirectRouter router = MakeRouter(3, 0);
  RequestPlan plan(router, Bound(router, "/safe/x"));
  plan.Begin(Millis(0));
  plan.OnSending();
  const PlanStep step = plan.OnBroken(false, Millis(5));
  cr_assert(std::holds_alternative<AnswerRefusal>(step));
  cr_expect(std::get<AnswerRefusal>(step).mRefusal.mRan == Ran::Maybe);
}

Test(directrouter, a_stale_policy_is_not_reported_as_a_bad_key)
{
  DirectRouter router = MakeRouter(1);
  const RequestAttributes known{ .mHost = "h",
                                 .mPath = "/safe/x",
                                 .mKey = "k" };
  const RequestAttributes unknown{ .mHost = "h",
                                   .mPath = "/safe/x",
                                   .mKey = "q" };
  const RequestAttributes elsewhere{ .mHost = "h",
                                     .mPath = "/none/",
                                     .mKey = "k" };
  cr_expect(BindError(router, unknown, Millis(100)) == ErrorKind::BadToken);
  cr_expect(BindError(router, elsewhere, Millis(100)) ==
            ErrorKind::UnknownRoute);
  cr_expect(BindError(router, known, Millis(4500)) == ErrorKind::PolicyStale);
  cr_expect(BindError(router, unknown, Millis(3500)) == ErrorKind::PolicyStale);
  cr_expect(BindError(router, elsewhere, Millis(3500)) ==
            ErrorKind::PolicyStale);
}

Test(directrouter, a_key_revoked_while_waiting_is_not_used)
{
  DirectRouter router = MakeRouter(1);
  RequestPlan plan(router, Bound(router, "/safe/x"));
  RoutePolicy later{ .mVersion = 2 };
  later.mRoutes = { MakeRoute("safe", RetryMode::Idempotent, 3) };
  later.mWorkspaces = { { .mName = "desk", .mKeys = { "other" } } };
  router.SetPolicy(std::make_shared<const RoutePolicy>(std::move(later)));
  const PlanStep step = plan.Begin(Millis(1));
  cr_assert(std::holds_alternative<AnswerRefusal>(step));
  cr_expect(std::get<AnswerRefusal>(step).mRefusal.mKind ==
            ErrorKind::PolicyStale);
}

Test(directrouter, an_older_policy_is_ignored)
{
  DirectRouter router = MakeRouter(1);
  cr_expect(
    !router.SetPolicy(std::make_shared<const RoutePolicy>(RoutePolicy{})));
  cr_expect(!router.SetPolicy(
    std::make_shared<const RoutePolicy>(RoutePolicy{ .mVersion = 1 })));
  cr_expect(router.SetPolicy(
    std::make_shared<const RoutePolicy>(RoutePolicy{ .mVersion = 5 })));
  cr_expect(router.Index()->Version() == 5);
}

Test(directrouter, leaving_upstreams_get_no_requests)
{
  DirectRouter router = MakeRouter(2);
  router.Directory().Put(
    { .mId = "u0", .mService = "svc", .mAddress = "a:1", .mLeaving = true });
  router.OnDirectoryChanged(Millis(0));
  for (int each = 0; each < 20; ++each) {
    const BoundRequest bound = Bound(router, "/safe/x");
    const auto attempt = router.Place(bound, {}, Millis(0));
    cr_assert(attempt.has_value());
    cr_expect(attempt->mUpstream == "u1");
    router.OnEnded(*attempt, AttemptOutcome::Good, Millis(0));
  }
}

Test(directrouter, failing_upstreams_are_avoided_but_never_all_of_them)
{
  DirectRouter router = MakeRouter(4);
  for (int each = 0; each < 60; ++each) {
    const BoundRequest bound = Bound(router, "/once/x");
    const auto attempt = router.Place(bound, {}, Millis(0));
    cr_assert(attempt.has_value());
    const bool bad = attempt->mUpstream == "u0";
    router.OnEnded(
      *attempt, bad ? AttemptOutcome::Broken : AttemptOutcome::Good, Millis(0));
  }
  cr_expect(router.StateOf("u0", Millis(0)) == OutlierState::Ejected);
  for (int each = 0; each < 60; ++each) {
    const BoundRequest bound = Bound(router, "/once/x");
    const auto attempt = router.Place(bound, {}, Millis(1));
    cr_assert(attempt.has_value(), "some upstream is always chosen");
    router.OnEnded(*attempt, AttemptOutcome::Broken, Millis(1));
  }
}

Test(directrouter, an_upstream_that_recovers_gets_requests_from_any_route)
{
  DirectRouter router = MakeRouter(3);
  for (int each = 0; each < 30; ++each) {
    const auto attempt = router.Place(Bound(router, "/once/x"), {}, Millis(0));
    const bool bad = attempt->mUpstream == "u0";
    router.OnEnded(
      *attempt, bad ? AttemptOutcome::Broken : AttemptOutcome::Good, Millis(0));
  }
  cr_assert(router.StateOf("u0", Millis(0)) == OutlierState::Ejected);
  router.ConfirmPolicy(Millis(20000));
  int recovered = 0;
  for (int each = 0; each < 100; ++each) {
    const Millis now(20000 + each);
    auto attempt = router.Place(Bound(router, "/once/x", now), {}, now);
    router.OnStarted(*attempt, now);
    router.OnEnded(*attempt, AttemptOutcome::Good, now);
    recovered += attempt->mUpstream == "u0" ? 1 : 0;
  }
  cr_expect(recovered > 5);
}

Test(directrouter, a_copy_at_an_upstream_that_leaves_is_not_used)
{
  DirectRouter router = MakeRouter(2);
  const BoundRequest bound = Bound(router, "/once/x");
  PlacedAttempt broken{ .mUpstream = "u0",
                        .mAddress = "a:1",
                        .mBackup = "u1",
                        .mBackupIncarnationNumber =
                          router.Directory().Find("u1")->mIncarnationNumber };
  cr_expect(router.PlaceAtBackup(bound, broken, Millis(0)).has_value());
  router.Directory().Put(
    { .mId = "u1", .mService = "svc", .mAddress = "a:1", .mLeaving = true });
  router.OnDirectoryChanged(Millis(0));
  cr_expect(!router.PlaceAtBackup(bound, broken, Millis(0)).has_value());
}

Test(requestplan, an_upstream_that_leaves_while_connecting_gets_no_request)
{
  DirectRouter router = MakeRouter(2);
  RequestPlan plan(router, Bound(router, "/once/x"));
  const PlanStep first = plan.Begin(Millis(0));
  const auto& chosen = std::get<SendRequest>(first).mAttempt;
  cr_expect(plan.MaySend(Millis(10)));
  ListedUpstream leaving = *router.Directory().Find(chosen.mUpstream);
  leaving.mLeaving = true;
  router.Directory().Put(leaving);
  router.OnDirectoryChanged(Millis(20));
  cr_expect(!plan.MaySend(Millis(20)));
  const PlanStep next = plan.OnUnreachable(Millis(20));
  cr_expect(std::get<SendRequest>(next).mAttempt.mUpstream != chosen.mUpstream);
  cr_expect(plan.MaySend(Millis(20)));
  cr_expect(!plan.MayHaveRun());
}

Test(requestplan, a_request_is_not_sent_once_its_upstream_or_key_is_gone)
{
  DirectRouter router = MakeRouter(1);
  RequestPlan plan(router, Bound(router, "/once/x"));
  plan.Begin(Millis(0));
  cr_expect(!plan.MaySend(Millis(4600)),
            "the policy is too old to check the key");
  router.ConfirmPolicy(Millis(4600));
  cr_expect(plan.MaySend(Millis(4600)));
  router.Directory().Remove("u0", Millis(4600));
  router.OnDirectoryChanged(Millis(4600));
  cr_expect(!plan.MaySend(Millis(4600)));
}

Test(requestplan, an_unreachable_copy_does_not_allow_another_attempt)
{
  DirectRouter router = MakeRouter(4);
  RoutePolicy policy{ .mVersion = 2 };
  policy.mRoutes = { MakeRoute("resume", RetryMode::Resumable, 1) };
  policy.mRoutes[0].mStream = true;
  policy.mServices["svc"] = { .mName = "svc",
                              .mEngine = EngineTraits{ .mBackups = true } };
  policy.mWorkspaces = { { .mName = "desk", .mKeys = { "k" } } };
  router.SetPolicy(std::make_shared<const RoutePolicy>(std::move(policy)));
  BoundRequest bound = Bound(router, "/resume/x");
  bound.mPrompt = { .mPromptTokens = 100, .mMaxOutput = 100 };
  RequestPlan single(router, bound);
  const PlanStep first = single.Begin(Millis(0));
  cr_assert(!std::get<SendRequest>(first).mAttempt.mBackup.empty());
  single.OnSending();
  single.OnHead(200, Millis(1));
  single.OnAnswerBegun(Millis(1));
  const PlanStep copy = single.OnBroken(true, Millis(2));
  cr_assert(std::holds_alternative<SendRequest>(copy));
  const PlanStep after = single.OnUnreachable(Millis(3));
  cr_expect(std::holds_alternative<AbortAnswer>(after));
}

namespace {

/** Restarts the upstream under its id. */
std::vector<UpstreamId>
Restart(DirectRouter& aRouter, const std::string& aUpstream, int64_t aStartTime)
{
  ListedUpstream listed = *aRouter.Directory().Find(aUpstream);
  listed.mStartTime = aStartTime;
  aRouter.Directory().Put(listed);
  return aRouter.OnDirectoryChanged(Millis(aStartTime));
}

nlohmann::json
StateOf(const DirectRouter& aRouter, const std::string& aUpstream, Millis aNow)
{
  return nlohmann::json::parse(aRouter.DumpState(aNow))["upstreams"][aUpstream];
}

} // namespace

Test(directrouter, a_restarted_upstream_has_no_cache_and_no_attempts)
{
  DirectRouter router = MakeRouter(1);
  Restart(router, "u0", 1);
  const BoundRequest request = BoundSession(router);
  const auto before = router.Place(request, {}, Millis(10));
  cr_assert(before.has_value());
  cr_expect(StateOf(router, "u0", Millis(10))["open"] == 1);
  cr_expect(Restart(router, "u0", 20) == std::vector<UpstreamId>{ "u0" });
  cr_expect(StateOf(router, "u0", Millis(20))["open"] == 0);
  // The outcome of the old attempt must not count for the new process.
  PlacedAttempt old = *before;
  router.OnReport(old, { .mRunning = 60, .mSlots = 64 }, Millis(30));
  router.OnStarted(old, Millis(30));
  router.OnEnded(old, AttemptOutcome::Broken, Millis(30));
  cr_expect(StateOf(router, "u0", Millis(30))["open"] == 0);
  cr_expect(StateOf(router, "u0", Millis(30))["busy"] == 0);
  for (int each = 0; each < 5; ++each) {
    router.OnEnded(old, AttemptOutcome::Broken, Millis(40));
  }
  cr_expect(router.StateOf("u0", Millis(40)) == OutlierState::Healthy);
}

Test(directrouter, a_restart_clears_earlier_failures)
{
  DirectRouter router = MakeRouter(3);
  Restart(router, "u0", 1);
  for (int each = 0; each < 5; ++each) {
    const auto attempt =
      router.Place(Bound(router, "/safe/x"), { "u1", "u2" }, Millis(10 + each));
    cr_assert(attempt && attempt->mUpstream == "u0");
    router.OnEnded(*attempt, AttemptOutcome::Failed, Millis(10 + each));
  }
  cr_expect(router.StateOf("u0", Millis(20)) != OutlierState::Healthy);
  Restart(router, "u0", 30);
  cr_expect(router.StateOf("u0", Millis(30)) == OutlierState::Healthy);
}

Test(directrouter, a_copy_is_lost_with_its_process)
{
  for (const bool restarts : { false, true }) {
    DirectRouter router = MakeRouter(2);
    Restart(router, "u0", 1);
    Restart(router, "u1", 1);
    const BoundRequest request = Bound(router, "/resume/x");
    auto attempt = router.Place(request, {}, Millis(10));
    cr_assert(attempt.has_value());
    attempt->mBackup = attempt->mUpstream == "u0" ? "u1" : "u0";
    attempt->mBackupIncarnationNumber =
      router.Directory().Find(attempt->mBackup)->mIncarnationNumber;
    if (restarts) {
      Restart(router, attempt->mBackup, 20);
    }
    const auto next = router.PlaceAtBackup(request, *attempt, Millis(30));
    cr_expect(next.has_value() == !restarts);
  }
}

/** The upstream may restart under its id at any time. A request that may run
 * only once is sent again only after the report that it did not run, and is
 * reported as not run only if that is true of every attempt. */
Test(requestplan, restarts_under_one_id_keep_at_most_once)
{
  const bool holds = rc::check("at most once", [] {
    DirectRouter router = MakeRouter(3);
    for (const char* each : { "u0", "u1", "u2" }) {
      Restart(router, each, 1);
    }
    RequestPlan plan(router, Bound(router, "/once/x"));
    int mayHaveRun = 0;
    int64_t now = 10;
    PlanStep step = plan.Begin(Millis(now));
    while (auto* send = std::get_if<SendRequest>(&step)) {
      RC_ASSERT(mayHaveRun == 0);
      const UpstreamId upstream = send->mAttempt.mUpstream;
      PlacedAttempt attempt = send->mAttempt;
      now += *rc::gen::inRange(1, 50);
      if (*rc::gen::arbitrary<bool>()) {
        Restart(router, upstream, now);
      }
      const int reaction = *rc::gen::inRange(0, 3);
      if (reaction == 0) {
        router.OnEnded(attempt, AttemptOutcome::Unreachable, Millis(now));
        step = plan.OnUnreachable(Millis(now));
        continue;
      }
      plan.OnSending();
      if (*rc::gen::arbitrary<bool>()) {
        Restart(router, upstream, ++now);
      }
      if (reaction == 1) {
        router.OnEnded(attempt, AttemptOutcome::Refused, Millis(now));
        step = plan.OnNotRun(Millis(now));
        continue;
      }
      mayHaveRun++;
      router.OnEnded(attempt, AttemptOutcome::Broken, Millis(now));
      step = plan.OnBroken(false, Millis(now));
    }
    const auto* refusal = std::get_if<AnswerRefusal>(&step);
    RC_ASSERT(refusal != nullptr);
    RC_ASSERT((refusal->mRefusal.mRan == Ran::No) == (mayHaveRun == 0));
  });
  cr_expect(holds);
}

/** An entry that is cut off from all others uses only its own state. */
Test(directrouter, peer_state_expires_without_updates)
{
  DirectRouter router = MakeRouter(1);
  PendingPrefill prefill;
  prefill.Add(0, 5000);
  router.OnPeerUpdate(
    { .mFrom = "other",
      .mSequence = 1,
      .mPending = { { .mUpstream = "u0", .mPendingPrefill = prefill } } },
    Millis(0));
  const auto before = router.Place(BoundSession(router), {}, Millis(10));
  cr_assert(before.has_value());
  cr_expect(before->mPrefillBacklog.mAhead > 5000);
  router.OnEnded(*before, AttemptOutcome::Good, Millis(20));
  const BoundRequest later = Bound(router, "/safe/x", Millis(2500));
  const auto after = router.Place(later, {}, Millis(2500));
  cr_assert(after.has_value());
  cr_expect(router.Peers() == 0);
  cr_expect(after->mPrefillBacklog.mAhead == 0);
}

/** What one entry sends is reported to the other, and counts there. */
Test(directrouter, entries_use_what_peers_have_sent)
{
  DirectRouter one = MakeRouter(2);
  DirectRouter other = MakeRouter(2);
  const BoundRequest session = BoundSession(one);
  const auto sent = one.Place(session, {}, Millis(0));
  cr_assert(sent.has_value());
  cr_expect(one.HasPeerUpdate());
  const PeerUpdate update = one.TakePeerUpdate(Millis(0));
  cr_expect(!one.HasPeerUpdate());
  cr_assert(update.mPending.size() == 1 && update.mSent.size() == 1);
  cr_expect(update.mSent[0].mSegments == std::vector<uint64_t>{ 1 });
  other.OnPeerUpdate(update, Millis(5));
  cr_expect(other.Peers() == 1);
  // The session's segments are cached there: only the request's own must be
  // prefilled.
  const auto next = other.Place(session, {}, Millis(10));
  cr_assert(next.has_value());
  cr_expect(next->mUpstream == sent->mUpstream);
  cr_expect(next->mWork.mPrefill == 4000);
  cr_expect(next->mPrefillBacklog.mAhead == sent->mWork.mPrefill + 4000);
}

/** Two other entries wait for an upstream to which this entry has sent nothing.
 * It is avoided until it responds to one of them. */
Test(directrouter, an_upstream_that_is_silent_to_peers_is_avoided)
{
  DirectRouter router = MakeRouter(2);
  const BoundRequest session = BoundSession(router);
  const auto first = router.Place(session, {}, Millis(0));
  cr_assert(first.has_value());
  router.OnEnded(*first, AttemptOutcome::Withdrawn, Millis(10));
  const std::vector<SilentUpstream> silent{ { .mUpstream = first->mUpstream,
                                              .mSilence = Millis(1200) } };
  for (const char* from : { "one", "two" }) {
    router.OnPeerUpdate({ .mFrom = from, .mSequence = 1, .mSilent = silent },
                        Millis(2000));
  }
  const auto second = router.Place(session, {}, Millis(2010));
  cr_assert(second.has_value());
  cr_expect(second->mUpstream != first->mUpstream);
  router.OnEnded(*second, AttemptOutcome::Withdrawn, Millis(2020));
  router.OnPeerUpdate(
    { .mFrom = "one", .mSequence = 2, .mAnswered = { first->mUpstream } },
    Millis(2030));
  const auto third = router.Place(session, {}, Millis(2040));
  cr_assert(third.has_value());
  cr_expect(third->mUpstream == first->mUpstream);
}

namespace {

BoundRequest
BoundSuspect(DirectRouter& aRouter, Millis aNow)
{
  BoundRequest request = Bound(aRouter, "/safe/x", aNow);
  request.mFeatures.mContent = { 1, 2 };
  return request;
}

/** The attempt's upstream process ends. */
void
CrashUpstream(DirectRouter& aRouter, const PlacedAttempt& aAttempt, Millis aNow)
{
  cr_expect(aRouter.OnConnectionLost(aAttempt, aNow));
  aRouter.OnConnectionRefused(aAttempt.mUpstream, aNow);
  aRouter.OnEnded(aAttempt, AttemptOutcome::Broken, aNow);
  aRouter.Directory().Remove(aAttempt.mUpstream, aNow);
  aRouter.OnDirectoryChanged(aNow);
}

PlacedAttempt
AttemptOf(const PlanStep& aStep)
{
  const auto* send = std::get_if<SendRequest>(&aStep);
  cr_assert(send != nullptr);
  return send->mAttempt;
}

} // namespace

Test(requestplan, a_repeated_suspect_is_held_until_its_outcome_is_known)
{
  DirectRouter router = MakeRouter(6);
  RequestPlan first(router, BoundSuspect(router, Millis(100)));
  CrashUpstream(router, AttemptOf(first.Begin(Millis(100))), Millis(150));
  RequestPlan second(router, BoundSuspect(router, Millis(200)));
  const PlacedAttempt probe = AttemptOf(second.Begin(Millis(200)));
  RequestPlan third(router, BoundSuspect(router, Millis(210)));
  cr_expect(std::holds_alternative<HoldRequest>(third.Begin(Millis(210))));
  cr_expect(
    std::holds_alternative<HoldRequest>(third.OnHoldElapsed(Millis(240))));
  cr_expect(!third.MayHaveRun());
  router.OnEnded(probe, AttemptOutcome::Good, Millis(250));
  cr_expect(
    std::holds_alternative<SendRequest>(third.OnHoldElapsed(Millis(270))));
}

Test(requestplan, a_request_that_crashed_three_upstreams_is_rejected_as_not_run)
{
  DirectRouter router = MakeRouter(8);
  Millis now(100);
  for (int each = 0; each < 3; ++each) {
    RequestPlan plan(router, BoundSuspect(router, now));
    CrashUpstream(router, AttemptOf(plan.Begin(now)), now + Millis(50));
    now += Millis(100);
  }
  router.TickCrashes(now + Millis(1000));
  RequestPlan plan(router, BoundSuspect(router, now));
  const PlanStep step = plan.Begin(now + Millis(1000));
  const auto* answer = std::get_if<AnswerRefusal>(&step);
  cr_assert(answer != nullptr);
  cr_expect(answer->mRefusal.mKind == ErrorKind::Quarantined);
  cr_expect(answer->mRefusal.mRan == Ran::No);
  cr_expect(answer->mRefusal.mRetryAfter ==
            router.CrashQuarantine().IdleTimeout());
  RequestPlan other(router, Bound(router, "/safe/x", now));
  AttemptOf(other.Begin(now + Millis(1000)));
}

/** A copy of the run would crash the upstream that keeps it. */
Test(requestplan, a_crashing_request_is_not_continued_at_a_backup)
{
  DirectRouter router = MakeRouter(8);
  RequestPlan plan(router, BoundSuspect(router, Millis(100)));
  PlanStep step = plan.Begin(Millis(100));
  for (int each = 1; each <= 3; ++each) {
    const Millis now(100 * each);
    CrashUpstream(router, AttemptOf(step), now + Millis(50));
    plan.OnSending();
    step = plan.OnBroken(true, now + Millis(50));
    if (each < 3) {
      continue;
    }
    const auto* answer = std::get_if<AnswerRefusal>(&step);
    cr_assert(answer != nullptr);
    cr_expect(answer->mRefusal.mRan == Ran::Maybe);
  }
}

namespace {

const RequestFingerprint kSegment = RequestFingerprint::OfSegment(7);

BoundRequest
BoundWithSegment(DirectRouter& aRouter, const std::string& aPath, uint64_t aId)
{
  BoundRequest request = Bound(aRouter, aPath);
  request.mFeatures = { .mContent = { 5, aId }, .mSegments = { kSegment } };
  return request;
}

/** Whether the request is refused for its quarantine as not run. */
bool
IsQuarantinedNotRun(const PlanStep& aStep)
{
  const auto* answer = std::get_if<AnswerRefusal>(&aStep);
  return answer != nullptr &&
         answer->mRefusal.mKind == ErrorKind::Quarantined &&
         answer->mRefusal.mRan == Ran::No;
}

} // namespace

Test(requestplan, no_attempt_with_a_quarantined_segment_is_sent)
{
  for (const char* path : { "/once/x", "/safe/x", "/resume/x" }) {
    DirectRouter router = MakeRouter(4);
    RequestPlan running(router, BoundWithSegment(router, path, 1));
    const PlacedAttempt attempt = AttemptOf(running.Begin(Millis(100)));
    running.OnSending();
    RequestPlan connecting(router, BoundWithSegment(router, path, 2));
    const PlacedAttempt unsent = AttemptOf(connecting.Begin(Millis(100)));
    router.OnCrashUpdate({ .mQuarantined = { { .mRequest = kSegment,
                                               .mSuspectFor = Millis(50) } } },
                         Millis(110));
    RequestPlan later(router, BoundWithSegment(router, path, 3));
    cr_expect(IsQuarantinedNotRun(later.Begin(Millis(120))));
    cr_expect(!connecting.MaySend(Millis(120)));
    router.OnEnded(unsent, AttemptOutcome::Withdrawn, Millis(120));
    cr_expect(IsQuarantinedNotRun(connecting.OnUnreachable(Millis(120))));
    router.OnEnded(attempt, AttemptOutcome::Broken, Millis(130));
    const PlanStep retry = running.OnBroken(true, Millis(130));
    cr_expect(std::holds_alternative<AnswerRefusal>(retry));
  }
}

Test(directrouter, an_upstream_that_was_leaving_has_not_crashed)
{
  DirectRouter router = MakeRouter(2);
  const BoundRequest request = BoundSuspect(router, Millis(100));
  const auto attempt = router.Place(request, {}, Millis(100));
  ListedUpstream leaving = *router.Directory().Find(attempt->mUpstream);
  leaving.mLeaving = true;
  router.Directory().Put(leaving);
  router.OnDirectoryChanged(Millis(110));
  cr_expect(!router.OnConnectionLost(*attempt, Millis(150)));
  router.OnConnectionRefused(attempt->mUpstream, Millis(151));
  cr_expect(router.TakeCrashes().empty());
}

/** The upstream restarts before anybody has tried to connect. */
Test(directrouter, an_upstream_replaced_after_a_lost_connection_has_crashed)
{
  DirectRouter router = MakeRouter(2);
  const BoundRequest request = BoundSuspect(router, Millis(100));
  const auto attempt = router.Place(request, {}, Millis(100));
  cr_expect(router.OnConnectionLost(*attempt, Millis(150)));
  cr_expect(router.TakeCrashes().empty());
  router.Directory().Remove(attempt->mUpstream, Millis(2000));
  router.OnDirectoryChanged(Millis(2000));
  const auto crashes = router.TakeCrashes();
  cr_assert(crashes.size() == 1);
  cr_expect(crashes[0].mSuspects.size() == 1);
}

Test(requestplan, a_limited_upstream_in_a_pause_names_the_end_of_the_pause)
{
  DirectRouter router = MakeRouter(1);
  const BoundRequest bound = Bound(router, "/safe/x");
  const auto attempt = router.Place(bound, {}, Millis(0));
  cr_assert(attempt.has_value());
  router.OnRateLimit(*attempt, NamedLimit{ .mPerSecond = 1 }, Millis(1));
  router.OnAvailabilityStatement(
    *attempt, { .mPause = Millis(3000) }, Millis(1));
  router.OnEnded(*attempt, AttemptOutcome::Refused, Millis(1));
  RequestPlan plan(router, Bound(router, "/safe/x", Millis(2)));
  const PlanStep step = plan.Begin(Millis(2));
  cr_assert(std::holds_alternative<AnswerRefusal>(step));
  const Millis delay = std::get<AnswerRefusal>(step).mRefusal.mRetryAfter;
  cr_expect(delay >= Millis(2999), "%d ms", static_cast<int>(delay.Count()));
}

namespace {

/** A request that takes up a stream of the request "first". */
BoundRequest
BoundResumption(DirectRouter& aRouter)
{
  BoundRequest bound = Bound(aRouter, "/resume/x");
  bound.mStream = StreamKeyOf("first");
  bound.mResumes = true;
  return bound;
}

void
RecordStream(DirectRouter& aRouter, const std::string& aService)
{
  aRouter.OnStreamRecord({ .mStream = StreamKeyOf("first"),
                           .mOrigin = { .mService = aService },
                           .mLifetime = kTimeout },
                         Millis(0));
}

} // namespace

Test(requestplan, a_stream_goes_on_only_at_a_service_of_its_route)
{
  for (const bool led : { true, false }) {
    DirectRouter router = MakeRouter(2);
    router.Directory().Put(
      { .mId = "other", .mService = "other", .mAddress = "a:9" });
    router.OnDirectoryChanged(Millis(0));
    RecordStream(router, led ? "svc" : "other");
    RequestPlan plan(router, BoundResumption(router));
    const PlanStep step = plan.Begin(Millis(0));
    cr_expect(std::holds_alternative<SendRequest>(step) == led);
    const auto* refusal = std::get_if<AnswerRefusal>(&step);
    cr_expect(led ||
              refusal->mRefusal.mKind == ErrorKind::StreamVersionUnavailable);
  }
}

Test(requestplan, a_late_record_is_awaited_and_a_missing_one_refused)
{
  for (const bool arrives : { true, false }) {
    DirectRouter router = MakeRouter(2);
    RequestPlan plan(router, BoundResumption(router));
    Millis now(0);
    PlanStep step = plan.Begin(now);
    while (const auto* hold = std::get_if<HoldRequest>(&step)) {
      now += hold->mDelay;
      if (arrives && now > Millis(200)) {
        RecordStream(router, "svc");
      }
      step = plan.OnHoldElapsed(now);
    }
    cr_expect(std::holds_alternative<SendRequest>(step) == arrives);
    cr_expect(now <= Millis(300));
    const auto* refusal = std::get_if<AnswerRefusal>(&step);
    cr_expect(arrives ||
              (refusal->mRefusal.mKind == ErrorKind::StreamVersionUnknown &&
               refusal->mRefusal.mRan == Ran::No &&
               refusal->mRefusal.mRetryAfter > Millis(0)));
  }
}

namespace {

/** A router whose streams last for two seconds, and which stops at 5 s. */
DirectRouter
StoppingRouter()
{
  DirectRouter router = MakeRouter(2);
  for (int64_t each = 0; each < 4; ++each) {
    auto attempt =
      router.Place(Bound(router, "/resume/x"), {}, Millis(each * 10));
    router.OnStarted(*attempt, Millis(100));
    router.OnEnded(*attempt, AttemptOutcome::Good, Millis(2100));
  }
  router.SetStopAt(Millis(5000));
  return router;
}

} // namespace

// Streams that began late in a planned stop were cut off at its end.
Test(requestplan, an_attempt_that_would_outlast_a_planned_stop_is_refused)
{
  DirectRouter router = StoppingRouter();
  const auto begin = [&](const std::string& aPath, Millis aNow) {
    router.ConfirmPolicy(aNow);
    RequestPlan plan(router, Bound(router, aPath, aNow));
    return plan.Begin(aNow);
  };
  cr_expect(
    std::holds_alternative<SendRequest>(begin("/resume/x", Millis(1500))));
  const PlanStep late = begin("/resume/x", Millis(2500));
  const auto* refusal = std::get_if<AnswerRefusal>(&late);
  cr_assert(refusal != nullptr);
  cr_expect(refusal->mRefusal.mKind == ErrorKind::ShuttingDown);
  cr_expect(refusal->mRefusal.mRan == Ran::No);
  cr_expect(refusal->mRefusal.mRetryAfter > Millis(0));
  // Nothing is known of this route's answers.
  cr_expect(
    std::holds_alternative<SendRequest>(begin("/safe/x", Millis(2500))));
}

Test(requestplan, a_broken_stream_goes_on_if_its_rest_ends_before_the_stop)
{
  for (const int64_t brokenAt : { 3000, 4500 }) {
    DirectRouter router = StoppingRouter();
    const Millis arrived(brokenAt - 1500);
    router.ConfirmPolicy(arrived);
    RequestPlan plan(router, Bound(router, "/resume/x", arrived));
    // It began before the stop was known.
    router.SetStopAt(Millis(60000));
    const PlanStep first = plan.Begin(arrived);
    const auto* send = std::get_if<SendRequest>(&first);
    cr_assert(send != nullptr);
    PlacedAttempt attempt = send->mAttempt;
    router.OnStarted(attempt, arrived + Millis(50));
    plan.OnSending();
    plan.OnAnswerBegun(arrived + Millis(50));
    router.SetStopAt(Millis(5000));
    const Millis now(brokenAt);
    router.ConfirmPolicy(now);
    router.OnEnded(attempt, AttemptOutcome::Broken, now);
    const PlanStep next = plan.OnBroken(true, now);
    cr_expect(std::holds_alternative<SendRequest>(next) == (brokenAt == 3000),
              "at %ld ms",
              brokenAt);
    cr_expect(std::holds_alternative<AbortAnswer>(next) == (brokenAt == 4500),
              "at %ld ms",
              brokenAt);
  }
}
