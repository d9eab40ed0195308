#include "libtrefoilarch/arrivalrate.h"

#include <criterion/criterion.h>

using namespace trefoilarch;

Test(arrivalrate, estimates_a_steady_rate_within_seconds)
{
  ArrivalRate rate;
  for (int64_t now = 0; now < 10000; now += 50) {
    rate.OnArrival(Millis(now));
  }
  cr_expect_float_eq(rate.PerMs(Millis(10000)), 0.02, 0.001);
}

Test(arrivalrate, decays_without_arrivals)
{
  ArrivalRate rate;
  for (int64_t now = 0; now < 10000; now += 50) {
    rate.OnArrival(Millis(now));
  }
  cr_expect_lt(rate.PerMs(Millis(16000)), 0.0015);
  cr_expect(ArrivalRate().PerMs(Millis(5)) == 0);
}
