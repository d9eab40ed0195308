#pragma once

#include "millis.h"

namespace trefoilarch {

/**
 * The strictest of the targets that were seen lately. A class that comes and
 * goes within the span keeps its say in between.
 */
class StrictestTarget
{
public:
  void See(Millis aTarget, Millis aNow)
  {
    if (aTarget > mTarget && aNow <= mSeen + kSpan) {
      return;
    }
    mTarget = aTarget;
    mSeen = aNow;
  }

  /** Never() while none has been seen. */
  Millis Value() const { return mTarget; }

private:
  static constexpr Millis kSpan{ 10000 };

  Millis mTarget = Millis::Never();
  Millis mSeen;
};

} // namespace trefoilarch
