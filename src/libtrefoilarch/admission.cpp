#include "admission.h"
#include "schedule.h"
#include "servicerate.h"
#include "upstreamcapacity.h"

#include <algorithm>

namespace trefoilarch {

namespace {

constexpr double kLeastRetry = 100;
constexpr double kMostRetry = 30000;
/** Where no rate has been measured, so no honest figure can be had. */
constexpr double kUnmeasuredRetry = 1000;
/** A time to come back is lengthened by up to this share. */
constexpr double kJitter = 0.5;
/** Longer than any deadline. */
constexpr double kHopeless = 1e12;

} // namespace

Admission::Admission(const Schedule& aSchedule,
                     const UpstreamCapacity& aRoom,
                     const ServiceRate& aRate,
                     uint64_t aSeed)
  : mSchedule(aSchedule)
  , mCapacity(aRoom)
  , mRate(aRate)
  , mRandom(aSeed)
{
}

std::optional<Millis>
Admission::Refuse(const Prospect& aProspect, Millis aNow)
{
  if (mCapacity.Running() == 0) {
    return std::nullopt;
  }
  const double onTime = Wait(aProspect, false, aNow);
  const auto startDue = static_cast<double>(aProspect.mStartDue.Count());
  const auto last =
    static_cast<double>((aProspect.mDeadline - aProspect.mLeastTime).Count());
  if (onTime <= std::min(startDue, last)) {
    return std::nullopt;
  }
  return GiveUp(aProspect, aNow);
}

std::optional<Millis>
Admission::GiveUp(const Prospect& aProspect, Millis aNow)
{
  if (mCapacity.Running() == 0) {
    return std::nullopt;
  }
  const double wait =
    std::min(Wait(aProspect, true, aNow), FloorWait(aProspect.mLevel, aNow));
  const auto last =
    static_cast<double>((aProspect.mDeadline - aProspect.mLeastTime).Count());
  if (wait <= last) {
    return std::nullopt;
  }
  return RetryAfter(aProspect.mLevel, aNow);
}

Millis
Admission::RetryAfter(const ServiceLevel& aLevel, Millis aNow)
{
  const Prospect next{ .mLevel = aLevel,
                       .mTokens = static_cast<uint64_t>(mRate.MeanTokens()),
                       .mLeastTime = {},
                       .mStartDue = {},
                       .mDeadline = {} };
  if (mRate.Capacity(Limit(), aNow) <= 0) {
    return Jittered(kUnmeasuredRetry);
  }
  return Jittered(Wait(next, false, aNow));
}

double
Admission::Wait(const Prospect& aProspect, bool aLate, Millis aNow) const
{
  const Tier tier = aProspect.mLevel.mTier;
  const double due =
    static_cast<double>(mSchedule.TokensAhead(aProspect.mLevel, aLate)) +
    static_cast<double>(mCapacity.InFlight() + aProspect.mTokens) -
    static_cast<double>(Limit());
  if (due <= 0 || mRate.Capacity(Limit(), aNow) <= 0) {
    return 0;
  }
  const double drain = mRate.Drain(tier, aLate, Limit(), aNow);
  return drain > 0 ? due / drain : kHopeless;
}

double
Admission::FloorWait(const ServiceLevel& aLevel, Millis aNow) const
{
  const double capacity = mRate.Capacity(Limit(), aNow);
  if (capacity <= 0) {
    return 0;
  }
  const double startSpan = mRate.MeanTokens() / capacity;
  const double turns = static_cast<double>(mSchedule.WaitingOf(aLevel) + 1);
  return turns * startSpan / mSchedule.Floor(aLevel);
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
Admission::Jittered(double aSpan)
{
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  const double span = std::clamp(aSpan, kLeastRetry, kMostRetry);
  return Millis(static_cast<int64_t>(span * jitter(mRandom)));
}

} // namespace trefoilarch
