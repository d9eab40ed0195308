#include "admission.h"
#include "schedule.h"
#include "servicerate.h"
#include "upstreamcapacity.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr double kMinRetryAfter = 100;
constexpr double kMaxRetryAfter = 30000;
/** Used while no rate has been measured, as no estimate is possible then. */
constexpr double kUnmeasuredRetryAfter = 1000;
/** Retry times are lengthened by up to this fraction. */
constexpr double kJitter = 0.5;
/** Longer than any deadline. */
constexpr double kUnboundedWait = 1e12;

} // namespace

Admission::Admission(const Schedule& aSchedule,
                     const UpstreamCapacity& aCapacity,
                     const ServiceRate& aRate,
                     uint64_t aSeed)
  : mSchedule(aSchedule)
  , mCapacity(aCapacity)
  , mRate(aRate)
  , mRandom(aSeed)
{
}

std::optional<Millis>
Admission::Refuse(const AdmissionRequest& aRequest, Millis aNow)
{
  if (mCapacity.Running() == 0) {
    return std::nullopt;
  }
  const double onTime = EstimateWait(aRequest, false, aNow);
  const auto latestStart = static_cast<double>(aRequest.mLatestStart.Count());
  const auto latestEnd =
    static_cast<double>((aRequest.mDeadline - aRequest.mMinDuration).Count());
  if (onTime <= std::min(latestStart, latestEnd)) {
    return std::nullopt;
  }
  return GiveUp(aRequest, aNow);
}

std::optional<Millis>
Admission::GiveUp(const AdmissionRequest& aRequest, Millis aNow)
{
  if (mCapacity.Running() == 0) {
    return std::nullopt;
  }
  const double wait = std::min(EstimateWait(aRequest, true, aNow),
                               EstimateFloorWait(aRequest.mLevel, aNow));
  const auto latestEnd =
    static_cast<double>((aRequest.mDeadline - aRequest.mMinDuration).Count());
  if (wait <= latestEnd) {
    return std::nullopt;
  }
  return RetryAfter(aRequest.mLevel, aNow);
}

Millis
Admission::RetryAfter(const ServiceLevel& aLevel, Millis aNow)
{
  const AdmissionRequest next{ .mLevel = aLevel,
                               .mTokens =
                                 static_cast<uint64_t>(mRate.MeanTokens()),
                               .mMinDuration = {},
                               .mLatestStart = {},
                               .mDeadline = {} };
  if (mRate.Capacity(Limit(), aNow) <= 0) {
    return Jittered(kUnmeasuredRetryAfter);
  }
  return Jittered(EstimateWait(next, false, aNow));
}

double
Admission::EstimateWait(const AdmissionRequest& aRequest,
                        bool aLate,
                        Millis aNow) const
{
  const Tier tier = aRequest.mLevel.mTier;
  const double tokensToDrain =
    static_cast<double>(mSchedule.TokensAhead(aRequest.mLevel, aLate)) +
    static_cast<double>(mCapacity.InFlight() + aRequest.mTokens) -
    static_cast<double>(Limit());
  if (tokensToDrain <= 0 || mRate.Capacity(Limit(), aNow) <= 0) {
    return 0;
  }
  const double drain = mRate.DrainRate(tier, aLate, Limit(), aNow);
  return drain > 0 ? tokensToDrain / drain : kUnboundedWait;
}

double
Admission::EstimateFloorWait(const ServiceLevel& aLevel, Millis aNow) const
{
  const double capacity = mRate.Capacity(Limit(), aNow);
  if (capacity <= 0) {
    return 0;
  }
  const double startInterval = mRate.MeanTokens() / capacity;
  const double starts = static_cast<double>(mSchedule.WaitingOf(aLevel) + 1);
  return starts * startInterval / mSchedule.Floor(aLevel);
}

uint64_t
Admission::Limit() const
{
  const double mean = mRate.MeanTokens();
  if (mean <= 0) {
    return mCapacity.Limit();
  }
  const double byCount = mean * static_cast<double>(mCapacity.MaxRunning());
  return std::min(mCapacity.Limit(), static_cast<uint64_t>(byCount));
}

Millis
Admission::RetryAfterPause(Millis aRemaining)
{
  std::uniform_int_distribution<int64_t> jitter(
    0, static_cast<int64_t>(kJitter * static_cast<double>(aRemaining.Count())));
  return aRemaining + Millis(jitter(mRandom));
}

Millis
Admission::Jittered(double aMillis)
{
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  const double delay = std::clamp(aMillis, kMinRetryAfter, kMaxRetryAfter);
  return Millis(static_cast<int64_t>(delay * jitter(mRandom)));
}

} // namespace trefoilarch
