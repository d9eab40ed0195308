#pragma once

#include "millis.h"
#include "usageupdate.h"

#include <optional>

namespace trefoilarch {

/**
 * The Unix time that the fleet has agreed on, at an entry that learns it from
 * replies. A reply's time is always behind by its delay, so the reply with the
 * smallest delay counts.
 */
class AgreedTime
{
public:
  void OnReply(const UsageReply& aReply, Millis aNow);

  /** The agreed time; that of the host's clock before the first reply. */
  Millis UnixTime(Millis aWallTime, Millis aNow) const
  {
    return mOffset ? aNow + *mOffset : aWallTime;
  }
  bool IsKnown() const { return mOffset.has_value(); }

private:
  /** Agreed time less local time. */
  std::optional<Millis> mOffset;
  Millis mReceivedAt;
  uint64_t mFencingToken = 0;
};

} // namespace trefoilarch
