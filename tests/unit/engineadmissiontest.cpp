#include "libtrefoilarch/engineadmission.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

constexpr StartRequirements kRequirements{ .mTarget = Millis(1000),
                                           .mLimit = Millis(8000) };

bool
Refuses(const StartForecast& aForecast,
        StartRequirements aRequirements = kRequirements)
{
  return EngineAdmission().Refuse(aForecast, aRequirements).has_value();
}

} // namespace

Test(engineadmission, accepts_a_request_without_a_queue)
{
  cr_expect(!Refuses({ .mWaitMs = 0, .mPrefillMs = 300, .mAnswerMs = 900 }));
  cr_expect(!Refuses({ .mWaitMs = 0, .mPrefillMs = 9000, .mAnswerMs = 9000 }),
            "a later retry would not be faster");
}

Test(engineadmission, a_long_prompt_is_no_overload)
{
  cr_expect(!Refuses({ .mWaitMs = 200, .mPrefillMs = 3000, .mAnswerMs = 900 }));
}

Test(engineadmission, retry_delay_grows_with_the_queue)
{
  const EngineAdmission admission;
  const auto near = admission.Refuse({ .mWaitMs = 2500 }, kRequirements);
  const auto far = admission.Refuse({ .mWaitMs = 3500 }, kRequirements);
  cr_assert(near && far);
  cr_expect(*near < *far, "the longer the queue, the later");
  cr_expect(!Refuses({ .mWaitMs = 100 }));
}

Test(engineadmission, less_urgent_requests_are_rejected_first)
{
  StartRequirements less = kRequirements;
  less.mPriorityWeight = 0.5;
  StartRequirements more = kRequirements;
  more.mPriorityWeight = 2;
  double wait = 0;
  while (!Refuses({ .mWaitMs = wait })) {
    wait += 10;
  }
  cr_expect(Refuses({ .mWaitMs = wait }, less));
  cr_expect(!Refuses({ .mWaitMs = wait }, more));
}

Test(engineadmission, rejects_requests_that_would_not_end_in_time)
{
  cr_expect(!Refuses({ .mWaitMs = 300, .mAnswerMs = 3000 }));
  cr_expect(Refuses({ .mWaitMs = 300, .mAnswerMs = 7900 }));
}

/** Guards against shares that apply while no request breaks its bounds. */
Test(engineadmission, only_used_up_bounds_are_pressure)
{
  const EngineAdmission admission;
  StartRequirements strict = kRequirements;
  strict.mMaxPause = Millis(400);
  const auto pressure = [&](double aWaitMs, double aPauseMs) {
    return admission.Pressure(
      { .mWaitMs = aWaitMs, .mLongestPauseMs = aPauseMs }, strict);
  };
  cr_expect(pressure(0, 320) == 0);
  cr_expect(std::abs(pressure(0, 400) - 1) < 1e-9);
  cr_expect(pressure(0, 4000) == EngineAdmission::kMaxPressure);
  cr_expect(pressure(100, 0) > 0 && pressure(100, 0) < 1);
}
