#include "libtrefoilarch/engineadmission.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

namespace {

constexpr StartRequirements kTerms{ .mTarget = Millis(1000),
                                    .mLimit = Millis(8000) };

bool
Refuses(const StartForecast& aForecast, StartRequirements aTerms = kTerms)
{
  return EngineAdmission().Refuse(aForecast, aTerms).has_value();
}

} // namespace

Test(engineadmission, a_request_that_waits_for_nobody_is_taken)
{
  cr_expect(!Refuses({ .mWaitMs = 0, .mPrefillMs = 300, .mAnswerMs = 900 }));
  cr_expect(!Refuses({ .mWaitMs = 0, .mPrefillMs = 9000, .mAnswerMs = 9000 }),
            "to come back later would not make it shorter");
}

Test(engineadmission, a_long_prompt_is_no_overload)
{
  cr_expect(!Refuses({ .mWaitMs = 200, .mPrefillMs = 3000, .mAnswerMs = 900 }));
}

Test(engineadmission, a_long_queue_is_refused_until_it_is_short)
{
  const EngineAdmission admission;
  const auto near = admission.Refuse({ .mWaitMs = 2500 }, kTerms);
  const auto far = admission.Refuse({ .mWaitMs = 3500 }, kTerms);
  cr_assert(near && far);
  cr_expect(*near < *far, "the longer the queue the later");
  cr_expect(!Refuses({ .mWaitMs = 100 }));
}

Test(engineadmission, the_less_urgent_are_refused_first)
{
  StartRequirements less = kTerms;
  less.mPriorityWeight = 0.5;
  StartRequirements more = kTerms;
  more.mPriorityWeight = 2;
  double wait = 0;
  while (!Refuses({ .mWaitMs = wait })) {
    wait += 10;
  }
  cr_expect(Refuses({ .mWaitMs = wait }, less));
  cr_expect(!Refuses({ .mWaitMs = wait }, more));
}

Test(engineadmission, what_would_not_end_in_time_is_refused)
{
  cr_expect(!Refuses({ .mWaitMs = 300, .mAnswerMs = 3000 }));
  cr_expect(Refuses({ .mWaitMs = 300, .mAnswerMs = 7900 }));
}
