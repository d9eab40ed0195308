#pragma once

#include "millis.h"

#include <cstdint>
#include <optional>

namespace trefoilarch {

/**
 * A pause in the requests to an upstream, and the slow start after it: one
 * request at first, and more with each response that starts, since an
 * overloaded upstream can't take all waiting requests at once.
 */
class RequestPause
{
public:
  /** No requests are sent until aEnd, or until the end of an earlier, longer
   * pause. */
  void Extend(Millis aEnd);

  bool IsPaused(Millis aNow) const { return mEnd && aNow < *mEnd; }
  /** Time until a request may be sent; zero: now. */
  Millis WaitFor(Millis aNow) const;

  /** Returns whether it is the first request after the pause. */
  bool OnSent(Millis aNow);
  /** The response to the request that was sent at aSentAt has started. */
  void OnStarted(Millis aSentAt);
  /** The request that was sent at aSentAt has ended without a response. */
  void OnNotStarted(Millis aSentAt);

private:
  /** Whether a request sent at that time is part of the slow start. */
  bool IsResuming(Millis aSentAt) const { return mEnd && *mEnd <= aSentAt; }

  /** End of the pause; empty once the slow start is over. */
  std::optional<Millis> mEnd;
  /** Requests that may still be sent in the slow start. */
  uint32_t mCredit = 0;
  /** Responses that have started in the slow start. */
  uint32_t mStarted = 0;
  bool mResumed = false;
};

} // namespace trefoilarch
