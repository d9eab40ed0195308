#pragma once

#include "millis.h"

namespace trefoilarch {

/** The arrival rate of requests, from an exponentially decaying count. An entry
 * in a large fleet receives some fifteen requests a second. */
class ArrivalRate
{
public:
  void OnArrival(Millis aNow);
  double PerMs(Millis aNow) const;

private:
  double Decayed(Millis aNow) const;

  double mCount = 0;
  Millis mUpdatedAt;
};

} // namespace trefoilarch
