#include "libtrefoilarch/performance/enginepace.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace trefoilarch;

namespace {

constexpr double kStepMs = 6.12;
constexpr double kTokensPerMs = 32.4;
constexpr double kChunkTokens = 1024;

/**
 * Engines that take a step of 6.12 ms and more, four to an event, and that read
 * a chunk of 1024 prompt tokens before each step while prompts are pending.
 * In one event of forty, the entry doesn't know of the prompt.
 */
class Engines
{
public:
  /** The mean pause at factor 1 for a known backlog. */
  static double MeanMs(const EngineSituation& aSituation)
  {
    const double chunks =
      std::min(aSituation.mPendingPromptTokens / kChunkTokens, 4.0);
    return 4 * (kStepMs + 0.04 * aSituation.mRunning) +
           chunks * kChunkTokens / kTokensPerMs;
  }

  double PauseMs(const EngineSituation& aSituation)
  {
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    const double unknown =
      mRandom() % 40 == 0 ? kChunkTokens / kTokensPerMs : 0;
    return (MeanMs(aSituation) + unknown) * noise(mRandom) *
           aSituation.mWorkFactor;
  }

  EngineSituation Draw()
  {
    std::uniform_real_distribution<double> share(0, 1);
    const double running = 60 * share(mRandom);
    const bool busy = mRandom() % 3 == 0;
    return { .mRunning = running,
             .mPendingPromptTokens = busy ? 20000 * share(mRandom) : 0,
             .mContextTokens = running * 1500,
             .mWorkFactor = 0.6 + 2 * share(mRandom) };
  }

private:
  std::mt19937 mRandom{ 11 };
};

/** An EnginePace that has observed that many events. */
EnginePace
Trained(int aEvents)
{
  EnginePace pace;
  Engines engines;
  for (int each = 0; each < aEvents; ++each) {
    const EngineSituation situation = engines.Draw();
    pace.OnEvent("llm", situation, engines.PauseMs(situation), Millis(each));
  }
  return pace;
}

const PaceRequest kStrictRequest{ .mPromptTokens = 543,
                                  .mPromptTokensPerMs = kTokensPerMs,
                                  .mEvents = 67 };

/** The most urgent route: first token, pause and deadline. */
const PaceBounds kStrictBounds{ .mFirstTokenMs = 600,
                                .mPauseMs = 400,
                                .mEndMs = 15000 };

const EngineSituation kFastIdle{ .mRunning = 4,
                                 .mContextTokens = 6000,
                                 .mWorkFactor = 0.6 };
const EngineSituation kSlowContended{ .mRunning = 50,
                                      .mPendingPromptTokens = 20000,
                                      .mContextTokens = 75000,
                                      .mWorkFactor = 1.6 * 3 };

double
CostOf(double aPauseMs)
{
  return PaceCostMs({ 100, aPauseMs, 1000 }, kStrictBounds, {});
}

} // namespace

/** Guards against a forecast that only fits the situations that are frequent.
 */
Test(enginepace, learns_the_time_of_an_event_in_each_situation)
{
  const EnginePace pace = Trained(3000);
  for (const double running : { 0.0, 20.0, 60.0 }) {
    for (const double pending : { 0.0, 2048.0, 4096.0, 20000.0 }) {
      const EngineSituation situation{ .mRunning = running,
                                       .mPendingPromptTokens = pending,
                                       .mContextTokens = running * 1500 };
      const double actual = Engines::MeanMs(situation);
      const double learned = pace.ExpectedEventMs("llm", situation);
      cr_expect(
        std::abs(learned / actual - 1) < 0.2, "%f for %f", learned, actual);
    }
  }
}

/** Guards against pauses that are forecast to grow with the whole backlog: it
 * is read in chunks, so that it lasts longer instead. */
Test(enginepace, a_longer_backlog_delays_the_end_but_not_each_event)
{
  const EnginePace pace = Trained(3000);
  const EngineSituation many{ .mPendingPromptTokens = 20000 };
  const EngineSituation more{ .mPendingPromptTokens = 80000 };
  const PaceForecast shorter = pace.Forecast("llm", many, kStrictRequest);
  const PaceForecast longer = pace.Forecast("llm", more, kStrictRequest);
  cr_expect(longer.mLongestPauseMs == shorter.mLongestPauseMs);
  cr_expect(longer.mEndMs > shorter.mEndMs + 1500);
  cr_expect(longer.mFirstTokenMs > shorter.mFirstTokenMs + 1500);
}

/** Guards against forecasts of the mean, which most streams exceed, and against
 * ones so high that no engine seems good enough. */
Test(enginepace, some_four_of_five_streams_keep_the_forecast_pause)
{
  const EnginePace pace = Trained(4000);
  Engines engines;
  constexpr int kStreams = 1000;
  int kept = 0;
  for (int stream = 0; stream < kStreams; ++stream) {
    const EngineSituation situation = engines.Draw();
    double longest = 0;
    for (int event = 0; event < kStrictRequest.mEvents; ++event) {
      longest = std::max(longest, engines.PauseMs(situation));
    }
    const PaceForecast forecast =
      pace.Forecast("llm", situation, kStrictRequest);
    kept += longest <= forecast.mLongestPauseMs ? 1 : 0;
  }
  cr_expect(kept > kStreams * 0.7 && kept < kStreams * 0.92, "%d", kept);
}

/** Guards against urgent streams at engines that can't keep their pauses,
 * before and after the pace is known. */
Test(enginepace, a_strict_stream_breaks_its_bound_only_on_a_slow_engine)
{
  for (const int events : { 0, 3000 }) {
    const EnginePace pace = Trained(events);
    const PaceForecast fast = pace.Forecast("llm", kFastIdle, kStrictRequest);
    const PaceForecast slow =
      pace.Forecast("llm", kSlowContended, kStrictRequest);
    cr_expect(fast.mLongestPauseMs < 400 * 0.7, "%f", fast.mLongestPauseMs);
    cr_expect(slow.mLongestPauseMs > 400, "%f", slow.mLongestPauseMs);
    cr_expect(PaceCostMs(fast, kStrictBounds, {}) == 0);
    cr_expect(PaceCostMs(slow, kStrictBounds, {}) > 100);
    cr_expect(PaceCostMs(slow, {}, {}) == 0);
  }
}

/** Guards against a stall that makes all engines of the service look slow, or
 * idle ones unable to keep a pause. */
Test(enginepace, a_stall_does_not_change_the_pace)
{
  EnginePace pace = Trained(1000);
  const double event = pace.ExpectedEventMs("llm", kFastIdle);
  const double pause =
    pace.Forecast("llm", kFastIdle, kStrictRequest).mLongestPauseMs;
  pace.OnEvent("llm", kFastIdle, 5000, Millis(1000));
  cr_expect(pace.ExpectedEventMs("llm", kFastIdle) < event * 1.1);
  const PaceForecast after = pace.Forecast("llm", kFastIdle, kStrictRequest);
  cr_expect(after.mLongestPauseMs < pause * 1.3);
}

/** Guards against a pace that stays near 0 after events that arrived together,
 * and limits all later pauses to it. */
Test(enginepace, recovers_from_events_without_pauses)
{
  EnginePace pace;
  for (int each = 0; each < 5000; ++each) {
    pace.OnEvent("llm", kFastIdle, each < 4000 ? 0 : 15, Millis(each));
  }
  cr_expect(pace.ExpectedEventMs("llm", kFastIdle) > 5);
}

/** Guards against absurd figures that break later forecasts. */
Test(enginepace, any_figures_give_finite_forecasts)
{
  const bool holds = rc::check("forecasts are finite and positive", [] {
    const auto figure = rc::gen::oneOf(
      rc::gen::arbitrary<double>(),
      rc::gen::element<double>(NAN, INFINITY, -INFINITY, -1, 0, 1e308));
    EnginePace pace;
    const auto figures = *rc::gen::container<std::vector<double>>(40, figure);
    for (size_t each = 0; each + 4 < figures.size(); ++each) {
      const double* drawn = &figures[each];
      const EngineSituation situation{ drawn[0], drawn[1], drawn[2], drawn[3] };
      pace.OnEvent("llm", situation, drawn[4], Millis(0));
      const PaceForecast forecast =
        pace.Forecast("llm", situation, { drawn[4], drawn[1], drawn[0] });
      for (const double ms : { forecast.mFirstTokenMs,
                               forecast.mLongestPauseMs,
                               forecast.mEndMs,
                               pace.ExpectedEventMs("llm", situation) }) {
        RC_ASSERT(ms > 0 && std::isfinite(ms));
      }
      const double cost =
        PaceCostMs(forecast, { drawn[0], drawn[1], drawn[2] }, {});
      RC_ASSERT(cost >= 0 && cost <= 3 * 2.25 * 400);
    }
    // More load never makes an event faster.
    RC_ASSERT(pace.ExpectedEventMs("llm", { 100, 1e5, 1e5 }) >=
              pace.ExpectedEventMs("llm", {}));
  });
  cr_assert(holds);
}

/** Guards against a cost that hides the difference between candidates when all
 * of them break the bound, or that jumps at it. */
Test(pacecost, the_least_broken_bound_costs_least)
{
  cr_expect(CostOf(400 * 0.69) == 0);
  double previous = 0;
  double steepestBefore = 0;
  for (double pause = 400 * 0.71; pause < 400; pause += 1) {
    const double cost = CostOf(pause);
    cr_expect(cost > previous && cost - previous < 3);
    steepestBefore = std::max(steepestBefore, cost - previous);
    previous = cost;
  }
  cr_expect(CostOf(401) - CostOf(400) > steepestBefore);
  for (double pause = 400; pause < 1e6; pause *= 1.1) {
    cr_expect(CostOf(pause * 1.1) > CostOf(pause));
    cr_expect(CostOf(pause) <= 2.25 * PaceCostOptions{}.mPauseMs);
  }
  // Two broken bounds cost more than one.
  cr_expect(PaceCostMs({ 1200, 800, 1000 }, kStrictBounds, {}) > CostOf(800));
}
