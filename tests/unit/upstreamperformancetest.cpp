#include "libtrefoilarch/performance/upstreamperformance.h"
#include "libtrefoilarch/performance/enginepace.h"

#include "performancefleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace trefoilarch;
using namespace performancefleet;

namespace {

/** Work that takes aFactor times the expected time at e0 and as long as
 * expected at the others, ten times a second. */
void
Work(UpstreamPerformance& aPerformance,
     size_t aEngines,
     double aFactor,
     Millis aFrom,
     Millis aTo)
{
  for (Millis now = aFrom; now < aTo; now += Millis(100)) {
    for (size_t each = 0; each < aEngines; ++each) {
      aPerformance.OnWork(EngineName(each),
                          kExpectedMs * (each == 0 ? aFactor : 1),
                          kExpectedMs,
                          now);
    }
  }
}

/** Ten entries report that, each with 30 samples. */
void
Hear(UpstreamPerformance& aPerformance,
     UpstreamPerformanceReport aReport,
     Millis aNow)
{
  aReport.mSamples = 30;
  for (int sender = 0; sender < 10; ++sender) {
    aPerformance.OnPeerReport(std::to_string(sender), aReport, aNow);
  }
}

/** Four steps, with a chunk of the pending prompts before each. */
double
PauseMs(const EngineSituation& aLoad, double aChunkTokens)
{
  return 4 * (6.12 + 0.05 * aLoad.mRunning +
              std::min(aLoad.mPendingPromptTokens / 4, aChunkTokens) / 32.4);
}

} // namespace

/** Guards against speeds that a single entry's few samples can't show, and
 * against faulty reports that hide or invent a difference. */
Test(upstreamperformance, three_speeds_are_told_apart_within_two_seconds)
{
  size_t early = 0;
  size_t late = 0;
  for (uint32_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed);
    fleet.Run(Millis(0), Millis(2000));
    early += fleet.Mistaken();
    fleet.Run(Millis(2000), Millis(6000));
    late += fleet.Mistaken();
  }
  // 30 entries with 12 engines in ten runs.
  cr_expect(early <= 36, "%zu of 3600 after 2 s", early);
  cr_expect(late == 0, "%zu of 3600 after 6 s", late);
}

/** Guards against contention that is mistaken for a lasting difference. */
Test(upstreamperformance, stated_contention_does_not_count_as_speed)
{
  UpstreamPerformance performance;
  List(performance, 3);
  for (Millis now(0); now < Millis(5000); now += Millis(50)) {
    performance.OnContention("e0", 2, now);
    Work(performance, 3, 2, now, now + Millis(1));
  }
  cr_expect(std::abs(performance.SpeedFactor("e0") - 1) < 0.02);
  cr_expect(std::abs(performance.WorkFactor("e0", Millis(5000)) - 2) < 0.1);
  cr_expect(performance.StatesContention("llm"));
  cr_expect(!performance.StatesContention("other"));
}

/** Guards against an entry that acts on old reports once it is cut off. */
Test(upstreamperformance, an_entry_that_is_cut_off_uses_its_own_observations)
{
  UpstreamPerformance performance;
  List(performance, 5);
  Work(performance, 4, 1, Millis(0), Millis(3000));
  for (size_t engine = 0; engine < 5; ++engine) {
    UpstreamPerformanceReport report{ EngineName(engine), kStart };
    report.mSpeedFactor = engine % 4 == 0 ? 3 : 1;
    report.mContention = 4;
    Hear(performance, report, Millis(3000));
  }
  Work(performance, 4, 1, Millis(3000), Millis(3500));
  cr_expect(performance.SpeedFactor("e0") > 2);
  cr_expect(performance.SpeedFactor("e4") > 2);
  cr_expect(performance.ContentionFactor("e4", Millis(3000)) > 3.9);
  cr_expect(performance.ContentionFactor("e4", Millis(6000)) < 4);
  cr_expect(performance.ContentionFactor("e4", Millis(13001)) == 1);

  Work(performance, 4, 1, Millis(62900), Millis(63001));
  performance.TakeReports(24, Millis(63500));
  cr_expect(performance.SpeedFactor("e0") < 1.1);
  cr_expect(performance.SpeedFactor("e4") == 1);
}

/** Guards against a new process that is judged by its predecessor. */
Test(upstreamperformance, the_last_incarnation_is_only_a_weak_prior)
{
  UpstreamPerformance performance;
  List(performance, 5);
  Work(performance, 5, 3, Millis(0), Millis(5000));
  cr_expect(performance.SpeedFactor("e0") > 2.5);
  performance.OnUnlisted("e0", Millis(5000));
  cr_expect(performance.SpeedFactor("e0") == 1);
  performance.OnListed("e0", "llm", kStart + 1, Millis(5000));
  const double prior = performance.SpeedFactor("e0");
  cr_expect(prior > 1.3 && prior < 2, "%f", prior);

  Hear(performance, { "e0", kStart, 3 }, Millis(5000));
  Work(performance, 5, 1, Millis(5000), Millis(7000));
  cr_expect(performance.SpeedFactor("e0") < 1.15);
  cr_expect(performance.Slow(Millis(7000)).empty());
}

/** Guards against log lines for each short slowness and against a state that
 * flaps near its bound. */
Test(upstreamperformance, slowness_begins_and_ends_with_hysteresis)
{
  UpstreamPerformance performance;
  List(performance, 5);
  Work(performance, 5, 1, Millis(0), Millis(5000));
  // A stall of ten seconds is one outlier.
  performance.OnWork("e1", 10000, kExpectedMs, Millis(5000));
  Work(performance, 5, 3, Millis(5000), Millis(6500));
  cr_expect(performance.TakeChanges().empty());
  Work(performance, 5, 3, Millis(6500), Millis(10000));
  const auto onset = performance.TakeChanges();
  cr_assert(onset.size() == 1);
  cr_expect(onset[0].mSlow && onset[0].mUpstream.mUpstream == "e0");
  cr_expect(onset[0].mAt - onset[0].mUpstream.mSince >= Millis(2000));
  cr_expect(onset[0].mUpstream.mSource == SlowSource::Own);

  Work(performance, 5, 1.4, Millis(10000), Millis(25000));
  cr_expect(performance.SpeedFactor("e0") < 1.5);
  cr_expect(performance.Slow(Millis(25000)).size() == 1);
  Work(performance, 5, 1, Millis(25000), Millis(35000));
  const auto end = performance.TakeChanges();
  cr_assert(end.size() == 1);
  cr_expect(!end[0].mSlow && end[0].mAt > Millis(27000));
  cr_expect(performance.Slow(Millis(35000)).empty());
}

/** Guards against a healthy engine that is called slow, or preferred as fast,
 * for the batch and the prompts that it was sent. */
Test(upstreamperformance, load_alone_makes_no_upstream_slow)
{
  const bool holds =
    rc::check("equal engines are not slow with any batch and backlog", [] {
      const double chunk = *rc::gen::element(512.0, 1024.0, 2048.0);
      std::vector<EngineSituation> loads(8);
      for (EngineSituation& each : loads) {
        each.mRunning = *rc::gen::inRange(0, 128);
        each.mPendingPromptTokens = *rc::gen::inRange(0, 40000);
        each.mContextTokens = each.mRunning * 1000;
      }
      std::mt19937 random(*rc::gen::inRange<uint32_t>(1, 1000));
      std::uniform_real_distribution<double> noise(0.5, 1.5);
      UpstreamPerformance performance;
      EnginePace pace;
      List(performance, loads.size());
      for (Millis now(0); now < Millis(10000); now += Millis(100)) {
        for (size_t each = 0; each < loads.size(); ++each) {
          const UpstreamId engine = EngineName(each);
          loads[each].mWorkFactor = performance.WorkFactor(engine, now);
          const double pause = PauseMs(loads[each], chunk) * noise(random);
          pace.OnEvent("llm", loads[each], pause, now);
          const double expected = pace.ExpectedEventMs("llm", loads[each]);
          performance.OnWork(engine, pause, expected, now);
        }
        RC_ASSERT(performance.TakeChanges().empty());
      }
      for (size_t each = 0; each < loads.size(); ++each) {
        const double factor = performance.SpeedFactor(EngineName(each));
        RC_ASSERT(factor > 0.6 && factor < 1.5);
      }
    });
  cr_assert(holds);
}

/** Guards against upstreams that are never reported because others change
 * more, and against more reports than a datagram holds. */
Test(upstreamperformance, reports_rotate_and_the_most_changed_come_first)
{
  constexpr size_t kEngines = 100;
  UpstreamPerformance performance;
  List(performance, kEngines);
  cr_expect(performance.TakeReports(24, Millis(0)).empty());
  std::map<std::string, int> calls;
  for (int call = 1; call <= 30; ++call) {
    const Millis now(call * 500);
    for (size_t each = 0; each < kEngines; ++each) {
      // Half of the engines change all the time.
      const bool changed = each % 2 == 0 && call % 2 == 0;
      performance.OnContention(EngineName(each), changed ? 4 : 1, now);
    }
    std::set<std::string> names;
    for (const auto& each : performance.TakeReports(24, now)) {
      cr_expect(names.insert(each.mUpstream).second);
      const int since = call - std::exchange(calls[each.mUpstream], call);
      cr_expect(since <= 9, "%s after %d", each.mUpstream.c_str(), since);
    }
    cr_expect(names.size() == 24);
  }
  cr_expect(calls.size() == kEngines);

  while (!performance.TakeReports(24, Millis(16000)).empty()) {
  }
  for (size_t each = 0; each < kEngines; ++each) {
    const double contention = each == 99 ? 8 : (each % 2 == 0 ? 4 : 1);
    performance.OnContention(EngineName(each), contention, Millis(16000));
  }
  const auto two = performance.TakeReports(2, Millis(16000));
  cr_assert(two.size() == 2);
  cr_expect(two[0].mUpstream == "e0" && two[1].mUpstream == "e99");
  cr_expect(performance.TakeReports(0, Millis(16000)).empty());
}
