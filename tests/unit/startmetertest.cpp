#include "libtrefoilarch/startmeter.h"

#include <criterion/criterion.h>
#include <deque>

using namespace trefoilarch;

namespace {

constexpr Millis kTarget{ 1000 };
constexpr Millis kLimit{ 5000 };

/** A server with a fixed rate before a meter; returns the requests refused
 * among those that came, and the longest wait of those taken. */
struct Outcome
{
  int mCame = 0;
  int mRefused = 0;
  int64_t mLongestWait = 0;
};

Outcome
Play(int aArrivalGap, int aServiceGap, int aSpan)
{
  StartMeter meter;
  std::deque<Millis> waiting;
  Outcome outcome;
  for (int now = 0; now < aSpan; ++now) {
    if (now % aArrivalGap == 0) {
      outcome.mCame++;
      if (meter.Refuse(kTarget, kLimit, 1, Millis(now))) {
        outcome.mRefused++;
      } else {
        meter.OnSent(Millis(now));
        waiting.push_back(Millis(now));
      }
    }
    if (now % aServiceGap == 0 && !waiting.empty()) {
      const Millis sent = waiting.front();
      waiting.pop_front();
      outcome.mLongestWait =
        std::max(outcome.mLongestWait, (Millis(now) - sent).Count());
      meter.OnStarted(sent, Millis(now));
    }
  }
  return outcome;
}

} // namespace

Test(startmeter, nothing_is_refused_while_starts_are_quick)
{
  const Outcome outcome = Play(20, 10, 20000);
  cr_expect(outcome.mRefused == 0);
}

Test(startmeter, overload_is_refused_down_to_what_can_start_in_time)
{
  // Twice as many come as can be served.
  const Outcome outcome = Play(10, 20, 30000);
  cr_expect(outcome.mRefused > outcome.mCame / 3);
  cr_expect(outcome.mRefused < outcome.mCame * 2 / 3);
  cr_expect(outcome.mLongestWait < 1500);
}

Test(startmeter, a_burst_that_starts_quickly_is_not_refused)
{
  StartMeter meter;
  for (int each = 0; each < 50; ++each) {
    cr_expect(!meter.Refuse(kTarget, kLimit, 1, Millis(each)));
    meter.OnSent(Millis(each));
  }
}

Test(startmeter, the_more_urgent_are_refused_later)
{
  StartMeter meter;
  int first = 0;
  int second = 0;
  for (int now = 0; now < 5000; now += 5) {
    const bool refusedLess =
      meter.Refuse(kTarget, kLimit, 0.65, Millis(now)).has_value();
    const bool refusedMore =
      meter.Refuse(kTarget, kLimit, 1.3, Millis(now)).has_value();
    first += refusedMore ? 1 : 0;
    second += refusedLess ? 1 : 0;
    cr_expect(!refusedMore || refusedLess);
    if (!refusedMore) {
      meter.OnSent(Millis(now));
    }
    if (now % 40 == 0 && meter.Pending() > 0) {
      meter.OnStarted(Millis(now > 800 ? now - 800 : 0), Millis(now));
    }
  }
  cr_expect(second > first);
}

Test(startmeter, what_is_given_up_waits_no_longer)
{
  StartMeter meter;
  for (int each = 0; each < 100; ++each) {
    meter.OnSent(Millis(0));
  }
  cr_expect(meter.Refuse(kTarget, kLimit, 1, Millis(900)));
  for (int each = 0; each < 100; ++each) {
    meter.OnAbandoned(Millis(0));
  }
  cr_expect(!meter.Refuse(kTarget, kLimit, 1, Millis(900)));
}

Test(startmeter, answers_that_could_not_end_in_time_are_not_begun)
{
  StartMeter meter;
  for (int each = 0; each < 100; ++each) {
    meter.OnSent(Millis(each * 10));
    meter.OnStarted(Millis(each * 10), Millis(each * 10 + 50));
    meter.OnEnded(Millis(each * 10), Millis(each * 10 + 3500));
  }
  for (int each = 0; each < 3; ++each) {
    meter.OnSent(Millis(1000));
  }
  cr_expect(meter.Refuse(kTarget, kLimit, 1, Millis(1000)));
  cr_expect(!meter.Refuse(kTarget, Millis(15000), 1, Millis(1000)));
}
