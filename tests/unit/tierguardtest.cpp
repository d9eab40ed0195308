#include "libtrefoilarch/tierguard.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

Test(tierguard, more_urgent_are_not_rejected_while_less_urgent_are_accepted)
{
  const bool holds = rc::check(
    "tiers are kept", [](const std::vector<std::pair<uint8_t, bool>>& aAll) {
      TierGuard guard(1);
      std::map<uint8_t, int64_t> acceptedAt;
      int64_t now = 0;
      for (const auto& [randomByte, overloaded] : aAll) {
        const uint8_t priority = randomByte % 3;
        now += 50;
        const bool refused =
          guard.Refuses("svc", priority, overloaded, Millis(now));
        for (const auto& [other, at] : acceptedAt) {
          RC_ASSERT(!refused || other <= priority || now - at >= 1500);
        }
        if (!refused) {
          acceptedAt[priority] = now;
        }
      }
    });
  cr_assert(holds);
}

Test(tierguard, an_overload_is_shed_from_the_least_urgent)
{
  TierGuard guard(1);
  int refused = 0;
  for (int64_t now = 0; now < 10000; now += 10) {
    guard.Refuses("svc", 2, false, Millis(now));
    cr_expect(!guard.Refuses("svc", 0, now > 1000, Millis(now)));
    cr_expect(!guard.Refuses("svc", 1, false, Millis(now)));
    refused += guard.Refuses("svc", 2, false, Millis(now)) ? 1 : 0;
  }
  cr_expect(refused > 500);
}

Test(tierguard, a_single_route_is_rejected_when_overloaded)
{
  TierGuard guard(1);
  cr_expect(guard.Refuses("svc", 1, true, Millis(0)));
  cr_expect(!guard.Refuses("svc", 1, false, Millis(1)));
  cr_expect(!guard.Refuses("other", 1, false, Millis(2)));
}

/** An entry with few requests has no less urgent ones of its own. */
Test(tierguard, more_urgent_are_not_rejected_while_peers_accept_less_urgent)
{
  TierGuard guard(1);
  for (int64_t now = 0; now < 5000; now += 250) {
    cr_expect(!guard.Refuses("svc", 0, true, Millis(now), true));
  }
  cr_expect(guard.Refuses("svc", 0, true, Millis(5000), false));
}

/** Its overload sheds less urgent requests of the entry itself. */
Test(tierguard, overload_shed_at_peers_applies_to_less_urgent_here)
{
  TierGuard guard(1);
  int refused = 0;
  for (int64_t now = 0; now < 10000; now += 100) {
    guard.Refuses("svc", 0, true, Millis(now), true);
    refused += guard.Refuses("svc", 2, false, Millis(now + 50)) ? 1 : 0;
  }
  cr_expect(refused > 50);
}
