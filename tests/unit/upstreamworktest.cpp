#include "libtrefoilarch/upstreamwork.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(upstreamwork, changes_since_the_report_count)
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

/** Reports from other entries arrive in any order. */
Test(upstreamwork, an_older_report_is_ignored)
{
  UpstreamWork work;
  work.OnReport({ .mRunning = 9 }, Millis(500));
  work.OnReport({ .mRunning = 1 }, Millis(300));
  cr_expect(work.Busy(Millis(600)) == 9);
  cr_expect(work.ReportAge(Millis(600)) == Millis(100));
}

/** A peer's report may be older than what was sent from here since. */
Test(upstreamwork, attempts_sent_after_a_report_are_added)
{
  UpstreamWork work;
  work.OnSent({ .mPrefill = 1, .mOutput = 1 }, Millis(400));
  work.OnReport({ .mRunning = 3 }, Millis(350));
  cr_expect(work.Busy(Millis(410)) == 4);
  work.OnReport({ .mRunning = 3 }, Millis(405));
  cr_expect(work.Busy(Millis(410)) == 3);
}

Test(upstreamwork, an_expired_report_is_ignored)
{
  UpstreamWork work;
  work.OnReport({ .mRunning = 30 }, Millis(0));
  cr_expect(work.Busy(Millis(3000)) == 30);
  cr_expect(work.Busy(Millis(3001)) == 0);
}

Test(upstreamwork, busy_is_at_least_the_own_attempts)
{
  const bool holds =
    rc::check("busy is at least the own attempts",
              [](const std::vector<uint8_t>& aSteps) {
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
