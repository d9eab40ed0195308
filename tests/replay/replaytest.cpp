#include "replayrun.h"

#include <criterion/criterion.h>

#include <string>

using namespace replay;

namespace {

Trace
Read(const std::string& aName)
{
  return ReadTrace(TREFOILARCH_TRACES, aName);
}

/** Attainment of the sidecar router and of the better baseline. */
struct AttainmentComparison
{
  double mSidecarRouter = 0;
  double mBaseline = 0;
};

AttainmentComparison
AttainmentOf(const Trace& aTrace, const std::string& aClass)
{
  const auto attainment = [&](const RouterMaker& aMaker) {
    return Replay(aTrace, aMaker).mClasses.at(aClass).Attainment();
  };
  return { .mSidecarRouter = attainment(MakeSidecarRouter),
           .mBaseline =
             std::max(attainment(MakeRoundRobin), attainment(MakeTwoChoices)) };
}

} // namespace

/** In every trace each request ends once, non-idempotent requests run at most
 * once, and requests reported as not run have not run. */
Test(replay, nothing_is_lost_doubled_or_misreported)
{
  const auto names = TraceNames(TREFOILARCH_TRACES);
  cr_assert_eq(names.size(), 8);
  for (const std::string& name : names) {
    const Score score = Replay(Read(name), MakeSidecarRouter);
    cr_assert_eq(score.mLost, 0, "%s", name.c_str());
    cr_assert_eq(score.mEndedTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mExecutedTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mFalseNotRun, 0, "%s", name.c_str());
  }
}

/** The same trace and seed give the same results. */
Test(replay, is_deterministic)
{
  const Trace trace = Read("half_lost");
  cr_assert_eq(Replay(trace, MakeSidecarRouter).mDump,
               Replay(trace, MakeSidecarRouter).mDump);
}

/** A flood of the lowest tier does not degrade the highest. */
Test(replay, flood_of_public_pages_leaves_agents_alone)
{
  const AttainmentComparison agents =
    AttainmentOf(Read("public_flood"), "mid_call");
  cr_assert_geq(agents.mSidecarRouter, 0.99);
  cr_assert_gt(agents.mSidecarRouter, agents.mBaseline);
}

/** Bursts of twelve simultaneous requests are served in time. */
Test(replay, line_of_flatbeds_is_served_in_time)
{
  const Trace trace = Read("line_of_flatbeds");
  cr_assert(
    FailedExpectations(trace, Replay(trace, MakeSidecarRouter)).empty());
}

/** Refusals are sent at once, not near the deadline. */
Test(replay, refusals_come_at_once)
{
  const Score score = Replay(Read("public_flood"), MakeSidecarRouter);
  const ClassScore& pages = score.mClasses.at("public");
  cr_assert_gt(pages.mRefusalTimes.size(), 1000);
  cr_assert_lt(Quantile(pages.mRefusalTimes, 0.5), 100);
}
