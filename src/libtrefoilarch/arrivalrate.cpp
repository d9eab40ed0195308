#include "arrivalrate.h"

#include <cmath>

namespace trefoilarch {

namespace {

/** Bursts double a load within a second or two; thirty requests of an entry
 * of many come in this span. */
constexpr double kMemoryMs = 2000;

} // namespace

void
ArrivalRate::OnArrival(Millis aNow)
{
  mCount = Faded(aNow) + 1;
  mAt = aNow;
}

double
ArrivalRate::PerMs(Millis aNow) const
{
  return Faded(aNow) / kMemoryMs;
}

double
ArrivalRate::Faded(Millis aNow) const
{
  const auto span = static_cast<double>((aNow - mAt).Count());
  return mCount * std::exp(-span / kMemoryMs);
}

} // namespace trefoilarch
