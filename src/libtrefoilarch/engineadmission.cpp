#include "engineadmission.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** After a shorter delay the same queue would still be there. */
constexpr double kMinRetryAfterMs = 250;
constexpr double kMaxRetryAfterMs = 2500;

/** Share of the bound up to which a pause is no sign of overload. */
constexpr double kUsualPauseShare = 0.8;

} // namespace

EngineAdmission::EngineAdmission(EngineAdmissionOptions aOptions)
  : mOptions(aOptions)
{
}

double
EngineAdmission::WaitLimit(const StartForecast& aForecast,
                           const StartRequirements& aRequirements) const
{
  const Millis target = std::max(aRequirements.mTarget, mOptions.mMinTarget);
  const double maxWait = mOptions.mMaxWaitShare *
                         aRequirements.mPriorityWeight *
                         static_cast<double>(target.Count());
  const double maxEnd = mOptions.mMaxTimeShare * aRequirements.mPriorityWeight *
                        static_cast<double>(aRequirements.mLimit.Count());
  return std::max(
    0.0,
    std::min(maxWait, maxEnd - aForecast.mPrefillMs - aForecast.mAnswerMs));
}

std::optional<Millis>
EngineAdmission::Refuse(const StartForecast& aForecast,
                        const StartRequirements& aRequirements) const
{
  const double limit = WaitLimit(aForecast, aRequirements);
  // If nothing is queued, a later retry changes nothing.
  if (aForecast.mWaitMs <= limit) {
    return std::nullopt;
  }
  const double excess = aForecast.mWaitMs - limit;
  return Millis(static_cast<int64_t>(
    std::clamp(excess, kMinRetryAfterMs, kMaxRetryAfterMs)));
}

double
EngineAdmission::Pressure(const StartForecast& aForecast,
                          const StartRequirements& aRequirements) const
{
  const double limit = std::max(1.0, WaitLimit(aForecast, aRequirements));
  const double wait = aForecast.mWaitMs / limit;
  const auto maxPause = static_cast<double>(aRequirements.mMaxPause.Count());
  const double used = maxPause > 0 ? aForecast.mLongestPauseMs / maxPause : 0;
  // Pauses use up most of their bound on engines that are well filled, which is
  // no overload.
  const double pause = (used - kUsualPauseShare) / (1 - kUsualPauseShare);
  return std::clamp(std::max(wait, pause), 0.0, kMaxPressure);
}

} // namespace trefoilarch
