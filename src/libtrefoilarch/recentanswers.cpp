#include "recentanswers.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/**
 * Per generation: a busy entry completes about this many responses in half a
 * minute.
 */
constexpr size_t kMaxAnswers = 4096;
constexpr Millis kRotationInterval{ 30000 };

} // namespace

void
RecentAnswers::Record(const RequestFingerprint& aRequest,
                      Millis aAt,
                      Millis aNow)
{
  if (mCurrent.size() >= kMaxAnswers || aNow - mRotatedAt > kRotationInterval) {
    mPrevious = std::exchange(mCurrent, {});
    mRotatedAt = aNow;
  }
  Millis& at = mCurrent[aRequest];
  at = std::max(at, aAt);
}

Millis
RecentAnswers::At(const RequestFingerprint& aRequest) const
{
  Millis at;
  for (const Generation* generation : { &mCurrent, &mPrevious }) {
    const auto found = generation->find(aRequest);
    at = found == generation->end() ? at : std::max(at, found->second);
  }
  return at;
}

} // namespace trefoilarch
