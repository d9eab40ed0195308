#include "libtrefoilarch/freshness.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(freshness, an_older_confirmation_changes_nothing)
{
  Freshness belief;
  cr_expect(!belief.IsWithin(Millis(1000), Millis(0)));
  belief.Confirm(Millis(500));
  belief.Confirm(Millis(300));
  cr_expect(belief.Age(Millis(700)) == Millis(200));
  cr_expect(belief.IsWithin(Millis(201), Millis(700)));
  cr_expect(!belief.IsWithin(Millis(200), Millis(700)));
}

/**
 * The model: the other process makes its answer some time after it was asked
 * and the answer travels for some time. A date must never be later than the
 * moment at which the answer was made.
 */
Test(freshness, an_answer_is_never_dated_too_late)
{
  const bool holds = rc::check(
    "an answer is never dated too late",
    [](const std::vector<std::tuple<uint8_t, uint16_t, uint8_t>>& aPolls) {
      constexpr int64_t kOffset = 123456;
      RemoteClock clock;
      int64_t now = 1000;
      for (const auto& [there, held, back] : aPolls) {
        const int64_t asked = now;
        const int64_t made = asked + there + held;
        const Millis date =
          clock.RespondedAt(Millis(asked), Millis(made - kOffset));
        RC_ASSERT(date.Count() <= made);
        now = made + back;
      }
    });
  cr_assert(holds);
}

Test(freshness, a_long_poll_is_dated_to_within_a_round_trip)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(51)); // asked at 1000, made at 1001
  const Millis date = clock.RespondedAt(Millis(1002), Millis(2053));
  // Made at 3003, with a round trip of 2 ms.
  cr_expect(date >= Millis(3001) && date <= Millis(3003));
}

/** A clock that is fast by 100 parts in a million gains 2.5 ms while an answer
 * is held back for 25 s. */
Test(freshness, clocks_drift_while_an_answer_is_held_back)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(1000)); // made at 1000
  cr_expect(clock.RespondedAt(Millis(1000), Millis(26003)) <= Millis(26000));
}

/** Two questions at a time: the one that was asked first is answered last. */
Test(freshness, an_answer_to_an_older_question_is_not_dated_too_late)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(20000), Millis(20000)); // made at 20000
  cr_expect(clock.RespondedAt(Millis(0), Millis(20003)) <= Millis(20003));
}

Test(freshness, a_reading_that_jumps_back_starts_anew)
{
  RemoteClock clock;
  clock.RespondedAt(Millis(1000), Millis(5000));
  cr_expect(clock.RespondedAt(Millis(2000), Millis(10)) == Millis(2000));
}
