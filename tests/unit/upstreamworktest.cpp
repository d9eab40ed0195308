#include "libtrefoilarch/upstreamwork.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(upstreamwork, what_came_and_went_since_the_report_counts)
{
  UpstreamWork work;
  const AttemptWork attempt{ .mPrefill = 100, .mOutput = 10 };
  work.OnSent(attempt, Millis(100));
  work.OnReport({ .mRunning = 5, .mWaiting = 2, .mSlots = 16 }, Millis(110));
  cr_expect(work.Busy(Millis(110)) == 7);
  work.OnSent(attempt, Millis(120));
  work.OnSentByPeer(Millis(130));
  cr_expect(work.Busy(Millis(140)) == 9);
  work.OnEnded(attempt, false, Millis(150));
  cr_expect(work.Busy(Millis(160)) == 8);
}

/** Reports come from entries in any order. */
Test(upstreamwork, a_report_made_earlier_says_nothing)
{
  UpstreamWork work;
  work.OnReport({ .mRunning = 9 }, Millis(500));
  work.OnReport({ .mRunning = 1 }, Millis(300));
  cr_expect(work.Busy(Millis(600)) == 9);
  cr_expect(work.ReportAge(Millis(600)) == Millis(100));
}

/** One that another entry got is older than what was sent from here since. */
Test(upstreamwork, what_was_sent_after_a_report_was_made_is_not_in_it)
{
  UpstreamWork work;
  work.OnSent({ .mPrefill = 1, .mOutput = 1 }, Millis(400));
  work.OnReport({ .mRunning = 3 }, Millis(350));
  cr_expect(work.Busy(Millis(410)) == 4);
  work.OnReport({ .mRunning = 3 }, Millis(405));
  cr_expect(work.Busy(Millis(410)) == 3);
}

Test(upstreamwork, an_old_report_is_no_ground)
{
  UpstreamWork work;
  work.OnReport({ .mRunning = 30 }, Millis(0));
  cr_expect(work.Busy(Millis(3000)) == 30);
  cr_expect(work.Busy(Millis(3001)) == 0);
}

Test(upstreamwork, its_own_attempts_are_the_least_that_is_there)
{
  const bool holds = rc::check(
    "busy is never below open", [](const std::vector<uint8_t>& aSteps) {
      UpstreamWork work;
      int64_t now = 0;
      uint32_t open = 0;
      for (const uint8_t step : aSteps) {
        now += 10;
        if (step % 4 == 0) {
          work.OnReport({ .mRunning = step / 16U }, Millis(now));
        } else if (step % 4 == 1 && open > 0) {
          work.OnEnded({}, true, Millis(now));
          open--;
        } else {
          work.OnSent({}, Millis(now));
          open++;
        }
        RC_ASSERT(work.Open() == open);
        RC_ASSERT(work.Busy(Millis(now)) >= open);
      }
    });
  cr_assert(holds);
}
