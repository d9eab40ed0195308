#pragma once

#include "millis.h"

namespace trefoilarch {

/** How many requests come in a millisecond, counted with a memory that fades:
 * an entry of many sees some fifteen requests a second. */
class ArrivalRate
{
public:
  void OnArrival(Millis aNow);
  double PerMs(Millis aNow) const;

private:
  double Faded(Millis aNow) const;

  double mCount = 0;
  Millis mAt;
};

} // namespace trefoilarch
