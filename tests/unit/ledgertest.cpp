#include "libtrefoilarch/ledger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace trefoilarch;

namespace {

AttemptKey
KeyOf(uint64_t aNumber)
{
  return { .mRequest = { .mHigh = 0, .mLow = aNumber }, .mAttempt = 1 };
}

} // namespace

/**
 * Over random ends and pauses: the bounds hold, the first record of a key
 * stays, and as long as no started attempt has been dropped, all of them are
 * known.
 */
Test(ledger, never_drops_a_started_attempt_unreported)
{
  const bool holds = rc::check([] {
    constexpr size_t kLimit = 20;
    constexpr Millis kRetention{ 1000 };
    Ledger ledger({ .mRetention = kRetention, .mLimit = kLimit });
    std::map<uint64_t, bool> ended;
    Millis now(1);
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += Millis(*rc::gen::inRange(0, 100));
      const auto number = *rc::gen::inRange<uint64_t>(0, 60);
      const bool started = *rc::gen::arbitrary<bool>();
      const bool known = ledger.Find(KeyOf(number)) != nullptr;
      const FinalMessage message =
        started ? FinalMessage(Finished{ .mKey = KeyOf(number) })
                : FinalMessage();
      ledger.Close(KeyOf(number), message, now);
      if (!known) {
        ended[number] = started;
      }
      ledger.Expire(now);
      RC_ASSERT(ledger.Size() <= kLimit);
      for (const auto& [key, hadStarted] : ended) {
        const FinalMessage* found = ledger.Find(KeyOf(key));
        if (found) {
          RC_ASSERT(std::holds_alternative<Finished>(*found) == hadStarted);
        }
        if (!found && hadStarted) {
          RC_ASSERT(ledger.HasForgottenStarts());
        }
      }
    }
  });
  cr_assert(holds);
}

/** At the limit voided attempts are dropped before started ones. */
Test(ledger, drops_voided_attempts_first)
{
  Ledger ledger({ .mRetention = Millis(1000), .mLimit = 3 });
  ledger.Close(KeyOf(1), Finished{ .mKey = KeyOf(1) }, Millis(1));
  for (uint64_t i = 2; i < 10; ++i) {
    ledger.Close(KeyOf(i), {}, Millis(2));
  }
  cr_assert_not_null(ledger.Find(KeyOf(1)));
  cr_assert_not(ledger.HasForgottenStarts());
  ledger.Close(KeyOf(10), Finished{ .mKey = KeyOf(10) }, Millis(3));
  ledger.Close(KeyOf(11), Finished{ .mKey = KeyOf(11) }, Millis(3));
  cr_assert_not(ledger.HasForgottenStarts());
  ledger.Close(KeyOf(12), Finished{ .mKey = KeyOf(12) }, Millis(3));
  cr_assert(ledger.HasForgottenStarts());
  cr_assert_null(ledger.Find(KeyOf(1)));
}
