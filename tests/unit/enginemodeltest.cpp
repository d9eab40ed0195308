#include "libtrefoilarch/enginemodel.h"

#include <criterion/criterion.h>
#include <random>

using namespace trefoilarch;

namespace {

/** An engine that reads so many tokens in a millisecond, with waits that vary
 * by a fifth and 20 ms for a start. */
class Engines
{
public:
  explicit Engines(double aPerMs, double aBehind = 0)
    : mPerMs(aPerMs)
    , mBehind(aBehind)
  {
  }

  Millis Wait(const PrefillBacklog& aReads, double aSlow = 1)
  {
    std::uniform_real_distribution<double> chance(0.9, 1.1);
    const double tokens = static_cast<double>(aReads.mAhead) +
                          mBehind * static_cast<double>(aReads.mBehind);
    return Millis(static_cast<int64_t>(
      (kStart + tokens / mPerMs * chance(mRandom)) * aSlow));
  }

  PrefillBacklog Draw()
  {
    std::uniform_int_distribution<uint64_t> tokens(200, 20000);
    return { .mAhead = tokens(mRandom), .mBehind = tokens(mRandom) };
  }

private:
  static constexpr double kStart = 20;
  double mPerMs;
  double mBehind;
  std::mt19937_64 mRandom{ 5 };
};

/** Teaches the model so many answers of the service's engines. */
void
Teach(EngineModel& aModel, Engines& aEngines, int aAnswers)
{
  for (int each = 0; each < aAnswers; ++each) {
    const PrefillBacklog reads = aEngines.Draw();
    aModel.OnStarted("llm",
                     "e" + std::to_string(each % 8),
                     reads,
                     aEngines.Wait(reads),
                     Millis(each * 100));
  }
}

} // namespace

/** Engines that read a third, and three times, as fast as the prior. */
Test(enginemodel, the_prior_is_left_within_some_twenty_answers)
{
  for (const double perMs : { 20.0, 50.0, 180.0 }) {
    EngineModel model;
    Engines engines(perMs);
    Teach(model, engines, 20);
    const double learnt = model.PrefillPerMs("llm");
    cr_expect(learnt > perMs * 0.75 && learnt < perMs * 1.25,
              "%f for %f",
              learnt,
              perMs);
  }
}

Test(enginemodel, a_change_of_speed_is_followed)
{
  EngineModel model;
  Engines fast(100);
  Engines slow(40);
  Teach(model, fast, 60);
  Teach(model, slow, 60);
  const double learnt = model.PrefillPerMs("llm");
  cr_expect(learnt > 32 && learnt < 55, "%f", learnt);
}

Test(enginemodel, what_less_urgent_prompts_cost_is_told_apart)
{
  for (const double behind : { 0.0, 0.5 }) {
    EngineModel model;
    Engines engines(50, behind);
    Teach(model, engines, 120);
    const double cost = model.PrefillMs("llm", { .mBehind = 1000 }) * 50 / 1000;
    cr_expect(std::abs(cost - behind) < 0.2, "%f for %f", cost, behind);
  }
}

/** One that stood still for three seconds says nothing of the speed. */
Test(enginemodel, one_standstill_does_not_change_what_is_known)
{
  EngineModel model;
  Engines engines(60);
  Teach(model, engines, 60);
  const double before = model.PrefillPerMs("llm");
  model.OnStarted("llm", "e1", { .mAhead = 3000 }, Millis(3000), Millis(6000));
  cr_expect(model.PrefillPerMs("llm") > before * 0.8);
}

Test(enginemodel, a_slow_engine_is_told_from_its_peers_and_forgiven)
{
  EngineModel model;
  Engines engines(60);
  Teach(model, engines, 60);
  const Millis now(6000);
  for (int each = 0; each < 4; ++each) {
    const PrefillBacklog reads{ .mAhead = 6000 };
    model.OnStarted("llm", "slow", reads, engines.Wait(reads, 5), now);
  }
  cr_expect(model.Slowness("slow", now) >= 3);
  cr_expect(model.Slowness("e1", now) == 1);
  cr_expect(model.Slowness("slow", now + Millis(30000)) == 1);
  model.Forget("slow");
  cr_expect(model.Slowness("slow", now) == 1);
}

Test(enginemodel, services_are_learnt_apart)
{
  EngineModel model;
  Engines engines(20);
  Teach(model, engines, 60);
  cr_expect(model.PrefillPerMs("other") ==
            EngineModelOptions{}.mPriorPrefillPerMs);
}
