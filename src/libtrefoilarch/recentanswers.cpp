#include "recentanswers.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Of each part: a busy entry's answers of half a minute. */
constexpr size_t kMostAnswers = 4096;
constexpr Millis kSpan{ 30000 };

} // namespace

void
RecentAnswers::Record(const RequestFingerprint& aRequest,
                      Millis aAt,
                      Millis aNow)
{
  if (mNew.size() >= kMostAnswers || aNow - mSince > kSpan) {
    mOld = std::exchange(mNew, {});
    mSince = aNow;
  }
  Millis& at = mNew[aRequest];
  at = std::max(at, aAt);
}

Millis
RecentAnswers::At(const RequestFingerprint& aRequest) const
{
  Millis at;
  for (const Part* each : { &mNew, &mOld }) {
    const auto place = each->find(aRequest);
    at = place == each->end() ? at : std::max(at, place->second);
  }
  return at;
}

} // namespace trefoilarch
