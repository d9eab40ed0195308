#include "libtrefoilarch/enginemodel.h"

#include <criterion/criterion.h>
#include <random>

using namespace trefoilarch;

namespace {

/** Engines that prefill aPerMs tokens per millisecond, with waits that vary
 * by a fifth, and 20 ms until a response starts. */
class Engines
{
public:
  explicit Engines(double aPerMs, double aBehind = 0)
    : mPerMs(aPerMs)
    , mBehind(aBehind)
  {
  }

  Millis Wait(const PrefillBacklog& aBacklog, double aSlow = 1)
  {
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    const double tokens = static_cast<double>(aBacklog.mAhead) +
                          mBehind * static_cast<double>(aBacklog.mBehind);
    return Millis(static_cast<int64_t>(
      (kStart + tokens / mPerMs * factor(mRandom)) * aSlow));
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

/** Feeds the model with responses of the service's engines. */
void
Train(EngineModel& aModel, Engines& aEngines, int aAnswers)
{
  for (int each = 0; each < aAnswers; ++each) {
    const PrefillBacklog backlog = aEngines.Draw();
    aModel.OnStarted("llm",
                     "e" + std::to_string(each % 8),
                     backlog,
                     aEngines.Wait(backlog),
                     Millis(each * 100));
  }
}

} // namespace

/** Engines that are a third, and three times, as fast as the prior. */
Test(enginemodel, learns_the_rate_within_twenty_responses)
{
  for (const double perMs : { 20.0, 50.0, 180.0 }) {
    EngineModel model;
    Engines engines(perMs);
    Train(model, engines, 20);
    const double learned = model.PrefillPerMs("llm");
    cr_expect(learned > perMs * 0.75 && learned < perMs * 1.25,
              "%f for %f",
              learned,
              perMs);
  }
}

Test(enginemodel, follows_a_change_of_rate)
{
  EngineModel model;
  Engines fast(100);
  Engines slow(40);
  Train(model, fast, 60);
  Train(model, slow, 60);
  const double learned = model.PrefillPerMs("llm");
  cr_expect(learned > 32 && learned < 55, "%f", learned);
}

Test(enginemodel, learns_the_cost_of_less_urgent_prompts)
{
  for (const double behind : { 0.0, 0.5 }) {
    EngineModel model;
    Engines engines(50, behind);
    Train(model, engines, 120);
    const double cost = model.PrefillMs("llm", { .mBehind = 1000 }) * 50 / 1000;
    cr_expect(std::abs(cost - behind) < 0.2, "%f for %f", cost, behind);
  }
}

/** An engine that stalled for three seconds gives no information about the
 * rate. */
Test(enginemodel, a_single_stall_does_not_change_the_rate)
{
  EngineModel model;
  Engines engines(60);
  Train(model, engines, 60);
  const double before = model.PrefillPerMs("llm");
  model.OnStarted("llm", "e1", { .mAhead = 3000 }, Millis(3000), Millis(6000));
  cr_expect(model.PrefillPerMs("llm") > before * 0.8);
}

Test(enginemodel, detects_a_slow_engine_until_it_recovers)
{
  EngineModel model;
  Engines engines(60);
  Train(model, engines, 60);
  const Millis now(6000);
  for (int each = 0; each < 4; ++each) {
    const PrefillBacklog backlog{ .mAhead = 6000 };
    model.OnStarted("llm", "slow", backlog, engines.Wait(backlog, 5), now);
  }
  cr_expect(model.Slowness("slow", now) >= 3);
  cr_expect(model.Slowness("e1", now) == 1);
  cr_expect(model.Slowness("slow", now + Millis(30000)) == 1);
  model.Forget("slow");
  cr_expect(model.Slowness("slow", now) == 1);
}

Test(enginemodel, services_are_learned_separately)
{
  EngineModel model;
  Engines engines(20);
  Train(model, engines, 60);
  cr_expect(model.PrefillPerMs("other") ==
            EngineModelOptions{}.mPriorPrefillPerMs);
}
