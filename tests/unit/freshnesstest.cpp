#include "libtrefoilarch/freshness.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(freshness, an_older_confirmation_changes_nothing)
{
  Freshness lastConfirmed;
  cr_expect(!lastConfirmed.IsWithin(Millis(1000), Millis(0)));
  lastConfirmed.Confirm(Millis(500));
  lastConfirmed.Confirm(Millis(300));
  cr_expect(lastConfirmed.Age(Millis(700)) == Millis(200));
  cr_expect(lastConfirmed.IsWithin(Millis(201), Millis(700)));
  cr_expect(!lastConfirmed.IsWithin(Millis(200), Millis(700)));
}

/**
 * The model: the other process responds some time after the request was sent,
 * and the response travels for some time. The calculated time must never be
 * later than the moment of the response.
 */
Test(freshness, a_response_is_never_dated_too_late)
{
  const bool holds = rc::check(
    "a response is never dated too late",
    [](const std::vector<std::tuple<uint8_t, uint16_t, uint8_t>>& aPolls) {
      constexpr int64_t kOffset = 123456;
      RemoteClock clock;
      int64_t now = 1000;
      for (const auto& [outbound, held, inbound] : aPolls) {
        const int64_t sentAt = now;
        const int64_t madeAt = sentAt + outbound + held;
        const Millis localTime =
          clock.RespondedAt(Millis(sentAt), Millis(madeAt - kOffset));
        RC_ASSERT(localTime.Count() <= madeAt);
        now = madeAt + inbound;
      }
    });
  cr_assert(holds);
}

Test(freshness, a_long_poll_is_dated_to_within_a_round_trip)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(51)); // sent at 1000, made at 1001
  const Millis localTime = clock.RespondedAt(Millis(1002), Millis(2053));
  // Made at 3003, with a round trip of 2 ms.
  cr_expect(localTime >= Millis(3001) && localTime <= Millis(3003));
}

/** A clock that is fast by 100 parts in a million gains 2.5 ms while a response
 * is delayed for 25 s. */
Test(freshness, drift_during_a_delayed_response_is_allowed_for)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(1000)); // made at 1000
  cr_expect(clock.RespondedAt(Millis(1000), Millis(26003)) <= Millis(26000));
}

/** Two queries at a time: the one that was sent first is answered last. */
Test(freshness, the_response_to_an_older_query_is_not_dated_too_late)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(20000), Millis(20000)); // made at 20000
  cr_expect(clock.RespondedAt(Millis(0), Millis(20003)) <= Millis(20003));
}

Test(freshness, a_remote_time_that_jumps_back_restarts_the_estimate)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(5000));
  cr_expect(clock.RespondedAt(Millis(2000), Millis(10)) == Millis(2000));
}
