#pragma once

#include "millis.h"
#include "requestfingerprint.h"

#include <cstddef>
#include <unordered_map>

namespace trefoilarch {

/**
 * Remembers when requests were last answered completely, for 30 to 60 seconds.
 * New entries go into the current generation. When it is full or old, it
 * replaces the previous one, whose entries are dropped.
 */
class RecentAnswers
{
public:
  void Record(const RequestFingerprint& aRequest, Millis aAt, Millis aNow);
  /**
   * Time of the last complete response; 0 if there was none or if it was
   * dropped.
   */
  Millis At(const RequestFingerprint& aRequest) const;

private:
  using Generation = std::unordered_map<RequestFingerprint, Millis>;

  Generation mCurrent;
  Generation mPrevious;
  Millis mRotatedAt;
};

} // namespace trefoilarch
