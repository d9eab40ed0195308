#include "engineadmission.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** After a shorter delay the same queue would still be there. */
constexpr double kMinRetryAfterMs = 250;
constexpr double kMaxRetryAfterMs = 2500;

} // namespace

EngineAdmission::EngineAdmission(EngineAdmissionOptions aOptions)
  : mOptions(aOptions)
{
}

std::optional<Millis>
EngineAdmission::Refuse(const StartForecast& aForecast,
                        const StartRequirements& aRequirements) const
{
  const Millis target = std::max(aRequirements.mTarget, mOptions.mMinTarget);
  const double maxWait = mOptions.mMaxWaitShare *
                         aRequirements.mPriorityWeight *
                         static_cast<double>(target.Count());
  const double maxEnd = mOptions.mMaxTimeShare * aRequirements.mPriorityWeight *
                        static_cast<double>(aRequirements.mLimit.Count());
  const double limit =
    std::min(maxWait, maxEnd - aForecast.mPrefillMs - aForecast.mAnswerMs);
  // If nothing is queued, a later retry changes nothing.
  if (aForecast.mWaitMs <= std::max(0.0, limit)) {
    return std::nullopt;
  }
  const double excess = aForecast.mWaitMs - std::max(0.0, limit);
  return Millis(static_cast<int64_t>(
    std::clamp(excess, kMinRetryAfterMs, kMaxRetryAfterMs)));
}

} // namespace trefoilarch
