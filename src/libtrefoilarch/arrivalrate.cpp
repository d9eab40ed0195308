#include "arrivalrate.h"

#include <cmath>

namespace trefoilarch {

namespace {

/** A burst can double the load within a second or two. An entry in a large
 * fleet receives some thirty requests in this time. */
constexpr double kDecayTimeMs = 2000;

} // namespace

void
ArrivalRate::OnArrival(Millis aNow)
{
  mCount = Decayed(aNow) + 1;
  mUpdatedAt = aNow;
}

double
ArrivalRate::PerMs(Millis aNow) const
{
  return Decayed(aNow) / kDecayTimeMs;
}

double
ArrivalRate::Decayed(Millis aNow) const
{
  const auto elapsed = static_cast<double>((aNow - mUpdatedAt).Count());
  return mCount * std::exp(-elapsed / kDecayTimeMs);
}

} // namespace trefoilarch
