#include "unevenfleet.h"

#include <criterion/criterion.h>

using namespace unevenfleet;

/**
 * Guards against entries that treat all engines alike, overfill them, or let
 * one workspace take them all, under the load of Run(): the parts of the load
 * tracker are exercised together, through the router.
 */
namespace {

/** So few requests in 8 s that a share of them needs several runs. */
constexpr uint32_t kSeeds = 10;

/** What counts as the same service: callers accept a difference of this share
 * of their requests. */
constexpr double kTolerance = 0.02;

Outcomes
RunAll(FleetOptions aOptions)
{
  Outcomes sum{};
  for (aOptions.mSeed = 1; aOptions.mSeed <= kSeeds; ++aOptions.mSeed) {
    const Outcomes outcomes = Run(aOptions);
    for (size_t group = 0; group < kGroups; ++group) {
      for (size_t figure = 0; figure < kFigures; ++figure) {
        sum[group][figure] += outcomes[group][figure];
      }
    }
  }
  return sum;
}

double
OnTimeShare(const Figures& aFigures)
{
  return static_cast<double>(aFigures[OnTime]) / aFigures[Asked];
}

double
LatePauseShare(const Figures& aFigures)
{
  const int answers = aFigures[Asked] - aFigures[Refused] - aFigures[Failed];
  return static_cast<double>(aFigures[LatePause]) / answers;
}

/** While an engine can keep the bound of strict streams, these get as few long
 * pauses as those that are now at the fastest engines. */
void
ExpectPausesKept(Group aGroup)
{
  const Outcomes without = RunAll({ .mParts = PartMode::Off });
  const Outcomes with = RunAll({ .mParts = PartMode::On });
  const double most = LatePauseShare(without[FastestQuest]) + kTolerance;
  const double shareWithout = LatePauseShare(without[aGroup]);
  const double shareWith = LatePauseShare(with[aGroup]);
  cr_expect(shareWithout > most, "%.3f without", shareWithout);
  cr_expect(shareWith <= most,
            "%.3f of the answers have a long pause, %.3f without, at most %.3f",
            shareWith,
            shareWithout,
            most);
}

} // namespace

Test(unevenengines, no_stream_has_long_pauses_from_the_first_request_on)
{
  ExpectPausesKept(Quest);
}

Test(unevenengines, no_stream_has_long_pauses_once_speeds_are_known)
{
  ExpectPausesKept(LaterQuest);
}

Test(unevenengines, less_urgent_requests_are_not_sacrificed_to_streams)
{
  const Outcomes without = RunAll({ .mParts = PartMode::Off });
  const Outcomes with = RunAll({ .mParts = PartMode::On });
  for (const Group route : { Loadout, Save }) {
    const double shareWithout = OnTimeShare(without[route]);
    const double shareWith = OnTimeShare(with[route]);
    cr_expect(shareWith >= shareWithout - kTolerance,
              "route %d: %.3f on time, %.3f without",
              int{ route },
              shareWith,
              shareWithout);
  }
}

/** Engines that hold two or three of the longest prompts, and streams at three
 * times their usual rate, which fit if less urgent requests give way. */
Test(unevenengines, no_urgent_request_is_preempted)
{
  for (const int64_t tokens : { 16000, 20000, 25000 }) {
    FleetOptions options{ .mMemoryTokens = tokens, .mQuestFactor = 3 };
    const Outcomes with = RunAll(options);
    options.mParts = PartMode::Off;
    const Outcomes without = RunAll(options);
    cr_expect(without[Quest][Preempted] > 0);
    cr_expect(with[Quest][Preempted] == 0,
              "%d preempted of %d, %d without, memory %ld",
              with[Quest][Preempted],
              with[Quest][Asked],
              without[Quest][Preempted],
              tokens);
  }
}

Test(unevenengines, modest_workspaces_are_not_harmed_by_a_flood)
{
  const auto lost = [](PartMode aParts) {
    const Outcomes calm = RunAll({ .mParts = aParts });
    const Outcomes flood = RunAll({ .mParts = aParts, .mFlood = true });
    return OnTimeShare(calm[Modest]) - OnTimeShare(flood[Modest]);
  };
  const double without = lost(PartMode::Off);
  const double with = lost(PartMode::On);
  cr_expect(without > kTolerance, "%.3f lost without", without);
  cr_expect(
    with <= kTolerance, "%.3f lost to the flood, %.3f without", with, without);
}
