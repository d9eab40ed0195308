#include "engineadmission.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** Sooner than this the same queue would still stand there. */
constexpr double kLeastReturnMs = 250;
constexpr double kLongestReturnMs = 2500;

} // namespace

EngineAdmission::EngineAdmission(EngineAdmissionOptions aOptions)
  : mOptions(aOptions)
{
}

std::optional<Millis>
EngineAdmission::Refuse(const StartForecast& aForecast,
                        const StartRequirements& aTerms) const
{
  const Millis judged = std::max(aTerms.mTarget, mOptions.mMinTarget);
  const double mostWait = mOptions.mMaxWaitShare * aTerms.mPriorityWeight *
                          static_cast<double>(judged.Count());
  const double mostEnd = mOptions.mMaxTimeShare * aTerms.mPriorityWeight *
                         static_cast<double>(aTerms.mLimit.Count());
  const double most =
    std::min(mostWait, mostEnd - aForecast.mPrefillMs - aForecast.mAnswerMs);
  // Where nothing waits, to come back later changes nothing.
  if (aForecast.mWaitMs <= std::max(0.0, most)) {
    return std::nullopt;
  }
  const double over = aForecast.mWaitMs - std::max(0.0, most);
  return Millis(
    static_cast<int64_t>(std::clamp(over, kLeastReturnMs, kLongestReturnMs)));
}

} // namespace trefoilarch
