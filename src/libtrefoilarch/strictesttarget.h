#pragma once

#include "millis.h"

namespace trefoilarch {

/**
 * The strictest of the recently seen targets. A target is kept for kRetention,
 * so a class that comes and goes within that time keeps its effect.
 */
class StrictestTarget
{
public:
  void Observe(Millis aTarget, Millis aNow)
  {
    if (aTarget > mTarget && aNow <= mObservedAt + kRetention) {
      return;
    }
    mTarget = aTarget;
    mObservedAt = aNow;
  }

  /** Never() while none has been seen. */
  Millis Value() const { return mTarget; }

private:
  static constexpr Millis kRetention{ 10000 };

  Millis mTarget = Millis::Never();
  Millis mObservedAt;
};

} // namespace trefoilarch
