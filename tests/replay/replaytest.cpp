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

/** Attainment of the design, and of the better of the two baselines. */
struct Compared
{
  double mDesign = 0;
  double mBaseline = 0;
};

Compared
AttainmentOf(const Trace& aTrace, const std::string& aClass)
{
  const auto attainment = [&](const RouterMaker& aMaker) {
    return Replay(aTrace, aMaker).mClasses.at(aClass).Attainment();
  };
  return { .mDesign = attainment(MakeDesign),
           .mBaseline =
             std::max(attainment(MakeRoundRobin), attainment(MakeTwoChoices)) };
}

} // namespace

/** Whatever the trace, every caller gets one end, what may not be repeated
 * runs once, and what is said not to have run has not run. */
Test(replay, nothing_is_lost_doubled_or_misreported)
{
  const auto names = TraceNames(TREFOILARCH_TRACES);
  cr_assert_eq(names.size(), 8);
  for (const std::string& name : names) {
    const Score score = Replay(Read(name), MakeDesign);
    cr_assert_eq(score.mLost, 0, "%s", name.c_str());
    cr_assert_eq(score.mTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mRunTwice, 0, "%s", name.c_str());
    cr_assert_eq(score.mFalseNo, 0, "%s", name.c_str());
  }
}

/** The same trace and seed give the same outcome. */
Test(replay, is_deterministic)
{
  const Trace trace = Read("half_lost");
  cr_assert_eq(Replay(trace, MakeDesign).mDump,
               Replay(trace, MakeDesign).mDump);
}

/** A flood of the lowest tier costs the highest nothing. */
Test(replay, flood_of_public_pages_leaves_agents_alone)
{
  const Compared agents = AttainmentOf(Read("public_flood"), "mid_call");
  cr_assert_geq(agents.mDesign, 0.99);
  cr_assert_gt(agents.mDesign, agents.mBaseline);
}

/** Twelve drivers at once are all served in time. */
Test(replay, line_of_flatbeds_is_served_in_time)
{
  const Trace trace = Read("line_of_flatbeds");
  cr_assert(BrokenPromises(trace, Replay(trace, MakeDesign)).empty());
}

/** Those who are refused are told at once, not near their deadline. */
Test(replay, refusals_come_at_once)
{
  const Score score = Replay(Read("public_flood"), MakeDesign);
  const ClassScore& pages = score.mClasses.at("public");
  cr_assert_gt(pages.mRefusedAfter.size(), 1000);
  cr_assert_lt(Quantile(pages.mRefusedAfter, 0.5), 100);
}
