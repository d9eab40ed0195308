#include "libtrefoilarch/callwatch.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

AttemptKey
Key(uint64_t aNumber)
{
  return AttemptKey{ .mRequest = { 1, aNumber }, .mAttempt = 1 };
}

} // namespace

Test(callwatch, a_silent_call_is_found_in_two_seconds_beside_active_ones)
{
  CallWatch watch({});
  watch.Started(Key(1), Millis(0));
  watch.Started(Key(2), Millis(0));
  for (int64_t now = 50; now < 4000; now += 50) {
    watch.Received(Key(2), Millis(now));
    if (now <= 1000) {
      watch.Received(Key(1), Millis(now));
    }
    const auto silent = watch.TakeSilent(Millis(now));
    cr_assert(silent.empty() == (now != 3000), "at %ld", now);
    cr_assert(silent.empty() || silent.front() == Key(1));
  }
}

Test(callwatch, a_long_prefill_that_blocks_every_call_is_tolerated)
{
  CallWatch watch({});
  for (uint64_t i = 1; i <= 3; ++i) {
    watch.Started(Key(i), Millis(0));
    watch.Received(Key(i), Millis(100));
  }
  cr_assert(watch.TakeSilent(Millis(3099)).empty());
  cr_assert(watch.TakeSilent(Millis(3100)).size() == 3);
}

Test(callwatch, the_first_token_has_a_long_timeout_before_any_measurement)
{
  CallWatch watch({});
  watch.Started(Key(1), Millis(0));
  cr_assert(watch.TakeSilent(Millis(9999)).empty());
  cr_assert(watch.TakeSilent(Millis(10000)).size() == 1);
  cr_assert(watch.TakeSilent(Millis(90000)).empty());
}

Test(callwatch, no_silence_under_two_seconds_ends_a_call)
{
  const bool holds = rc::check([] {
    CallWatch watch({});
    const auto gap = *rc::gen::inRange<int64_t>(1, 200);
    int64_t now = 0;
    watch.Started(Key(1), Millis(now));
    for (int i = 0; i < 20; ++i) {
      now += gap;
      watch.Received(Key(1), Millis(now));
    }
    for (int i = 0; i < 20; ++i) {
      now += std::min<int64_t>(gap * 10, 1999);
      RC_ASSERT(watch.TakeSilent(Millis(now)).empty());
      watch.Received(Key(1), Millis(now));
    }
    RC_ASSERT(watch.NextTokenTimeout() >=
              Millis(std::min<int64_t>(gap * 60, 1999)));
  });
  cr_assert(holds);
}

Test(callwatch, the_timeout_follows_a_recovered_upstream)
{
  CallWatch watch({});
  int64_t now = 0;
  watch.Started(Key(1), Millis(now));
  for (int i = 0; i < 100; ++i) {
    now += i < 5 ? 1500 : 30;
    watch.Received(Key(1), Millis(now));
  }
  cr_assert(watch.NextTokenTimeout() == Millis(2000));
}
