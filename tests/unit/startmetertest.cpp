#include "libtrefoilarch/startmeter.h"

#include <criterion/criterion.h>
#include <deque>

using namespace trefoilarch;

namespace {

constexpr Millis kTarget{ 1000 };
constexpr Millis kLimit{ 5000 };

/** A server with a fixed rate behind a meter: counts arrivals and rejected
 * requests, and the longest wait of the accepted ones. */
struct Outcome
{
  int mArrivals = 0;
  int mRefused = 0;
  int64_t mMaxWait = 0;
};

Outcome
Play(int aArrivalGap, int aServiceGap, int aDuration)
{
  StartMeter meter;
  std::deque<Millis> waiting;
  Outcome outcome;
  for (int now = 0; now < aDuration; ++now) {
    if (now % aArrivalGap == 0) {
      outcome.mArrivals++;
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
      outcome.mMaxWait =
        std::max(outcome.mMaxWait, (Millis(now) - sent).Count());
      meter.OnStarted(sent, Millis(now));
    }
  }
  return outcome;
}

} // namespace

Test(startmeter, nothing_is_rejected_while_starts_are_fast)
{
  const Outcome outcome = Play(20, 10, 20000);
  cr_expect(outcome.mRefused == 0);
}

Test(startmeter, overload_is_rejected_to_what_can_start_in_time)
{
  // The arrival rate is twice the service rate.
  const Outcome outcome = Play(10, 20, 30000);
  cr_expect(outcome.mRefused > outcome.mArrivals / 3);
  cr_expect(outcome.mRefused < outcome.mArrivals * 2 / 3);
  cr_expect(outcome.mMaxWait < 1500);
}

Test(startmeter, a_burst_that_starts_quickly_is_not_rejected)
{
  StartMeter meter;
  for (int each = 0; each < 50; ++each) {
    cr_expect(!meter.Refuse(kTarget, kLimit, 1, Millis(each)));
    meter.OnSent(Millis(each));
  }
}

Test(startmeter, more_urgent_requests_are_rejected_later)
{
  StartMeter meter;
  int refusedUrgent = 0;
  int refusedLessUrgent = 0;
  for (int now = 0; now < 5000; now += 5) {
    const bool refusedLess =
      meter.Refuse(kTarget, kLimit, 0.65, Millis(now)).has_value();
    const bool refusedMore =
      meter.Refuse(kTarget, kLimit, 1.3, Millis(now)).has_value();
    refusedUrgent += refusedMore ? 1 : 0;
    refusedLessUrgent += refusedLess ? 1 : 0;
    cr_expect(!refusedMore || refusedLess);
    if (!refusedMore) {
      meter.OnSent(Millis(now));
    }
    if (now % 40 == 0 && meter.Pending() > 0) {
      meter.OnStarted(Millis(now > 800 ? now - 800 : 0), Millis(now));
    }
  }
  cr_expect(refusedLessUrgent > refusedUrgent);
}

Test(startmeter, abandoned_requests_are_no_longer_pending)
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

Test(startmeter, rejects_responses_that_would_not_end_in_time)
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

/** The load: 50 requests a second, of which one in five never begins and ends
 * at a timeout of 5 s; the others begin after 50 ms. Half of them were
 * rejected. */
Test(startmeter, requests_that_never_begin_are_no_queue)
{
  constexpr int kGap = 20;
  constexpr int kWait = 50;
  constexpr int kTimeout = 5000;
  StartMeter meter;
  std::deque<Millis> sound;
  std::deque<Millis> silent;
  int refused = 0;
  for (int now = 0; now < 30000; now += 10) {
    const int number = now / kGap;
    if (now % kGap == 0 && meter.Refuse(kTarget, kLimit, 1, Millis(now))) {
      refused++;
    } else if (now % kGap == 0) {
      meter.OnSent(Millis(now));
      (number % 5 == 0 ? silent : sound).push_back(Millis(now));
    }
    while (!sound.empty() && sound.front() <= Millis(now - kWait)) {
      meter.OnStarted(sound.front(), Millis(now));
      sound.pop_front();
    }
    while (!silent.empty() && silent.front() <= Millis(now - kTimeout)) {
      meter.OnAbandoned(silent.front());
      silent.pop_front();
    }
  }
  cr_expect(refused == 0, "%d of 1500", refused);
}

/** Starts of more urgent requests say nothing about the wait of others. */
Test(startmeter, less_urgent_requests_behind_urgent_ones_are_a_queue)
{
  StartMeter meter;
  int refused = 0;
  for (int now = 0; now < 5000; now += 20) {
    meter.OnSent(Millis(now), 0);
    meter.OnStarted(Millis(now), Millis(now), 0);
    if (meter.Refuse(kTarget, kLimit, 1, Millis(now))) {
      refused++;
    } else {
      meter.OnSent(Millis(now), 2);
    }
  }
  cr_expect(refused > 100, "%d of 250", refused);
}

/** Where nothing starts any more, all that is pending is a queue. */
Test(startmeter, requests_of_an_outage_are_a_queue)
{
  StartMeter meter;
  int refused = 0;
  for (int now = 0; now < 6000; now += 20) {
    if (meter.Refuse(kTarget, kLimit, 1, Millis(now))) {
      refused++;
      continue;
    }
    meter.OnSent(Millis(now));
    if (now < 3000) {
      meter.OnStarted(Millis(now), Millis(now + 10));
    }
  }
  cr_expect(refused > 100, "%d of 150", refused);
}
