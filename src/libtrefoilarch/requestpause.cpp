#include "requestpause.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** The number of requests doubles with each round of responses. */
constexpr uint32_t kCreditPerResponse = 2;

/** The slow start ends after so many responses, or after this time. */
constexpr uint32_t kSlowStartResponses = 8;
constexpr Millis kMaxSlowStart{ 3000 };

/** Time until a slow start without credit may allow a request. */
constexpr Millis kSlowStartWait{ 100 };

} // namespace

void
RequestPause::Extend(Millis aEnd)
{
  mEnd = std::max(aEnd, mEnd.value_or(aEnd));
  mCredit = 1;
  mStarted = 0;
  mResumed = false;
}

Millis
RequestPause::WaitFor(Millis aNow) const
{
  if (!mEnd) {
    return Millis(0);
  }
  if (aNow < *mEnd) {
    return *mEnd - aNow;
  }
  const bool allowed = mCredit > 0 || aNow - *mEnd >= kMaxSlowStart;
  return allowed ? Millis(0) : kSlowStartWait;
}

bool
RequestPause::OnSent(Millis aNow)
{
  if (!IsResuming(aNow)) {
    return false;
  }
  mCredit -= mCredit > 0 ? 1 : 0;
  if (aNow - *mEnd >= kMaxSlowStart) {
    mEnd.reset();
  }
  return !std::exchange(mResumed, true);
}

void
RequestPause::OnStarted(Millis aSentAt)
{
  if (!IsResuming(aSentAt)) {
    return;
  }
  mCredit += kCreditPerResponse;
  mStarted++;
  if (mStarted >= kSlowStartResponses) {
    mEnd.reset();
  }
}

void
RequestPause::OnNotStarted(Millis aSentAt)
{
  if (IsResuming(aSentAt)) {
    mCredit++;
  }
}

} // namespace trefoilarch
