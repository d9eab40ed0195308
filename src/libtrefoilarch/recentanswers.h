#pragma once

#include "millis.h"
#include "requestfingerprint.h"

#include <cstddef>
#include <unordered_map>

namespace trefoilarch {

/**
 * When requests were last answered whole, for half a minute to a minute. Two
 * parts: what comes goes into the first, and when that is full or old the
 * second is forgotten and they change places.
 */
class RecentAnswers
{
public:
  void Record(const RequestFingerprint& aRequest, Millis aAt, Millis aNow);
  /** 0 for never or long ago. */
  Millis At(const RequestFingerprint& aRequest) const;

private:
  using Generation = std::unordered_map<RequestFingerprint, Millis>;

  Generation mCurrent;
  Generation mPrevious;
  Millis mRotatedAt;
};

} // namespace trefoilarch
