#include "enginemodel.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Weight of an engine's newest sample: four determine most of its factor. */
constexpr double kNewestWeight = 0.3;

/** Time constant by which an unused engine's factor decays to 1. */
constexpr double kDecayMs = 6000;

/** Under load the waits of a healthy engine vary by up to this factor. */
constexpr double kMinReportedSlowness = 3;

constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 8;

/** The minimum wait rises by this share with each sample, so that one unusually
 * fast response doesn't fix it forever. */
constexpr double kMinWaitRise = 0.002;

/** Waits of a few milliseconds are mostly noise. */
constexpr double kMinPrefillMs = 1;

} // namespace

EngineModel::EngineModel(EngineModelOptions aOptions)
  : mOptions(aOptions)
{
}

void
EngineModel::OnStarted(const std::string& aService,
                       const UpstreamId& aEngine,
                       const PrefillBacklog& aBacklog,
                       Millis aWait,
                       Millis aNow)
{
  Service& service = mServices[aService];
  const auto wait = static_cast<double>(aWait.Count());
  if (aBacklog.mAhead < mOptions.mMinTokens) {
    // The wait of a prompt with almost no prefill is the minimum wait.
    UpdateMinWait(service, wait);
  }
  const double expected = PrefillMs(aService, aBacklog);
  const double prefill = std::max(wait - service.mMinWait, kMinPrefillMs);
  if (aBacklog.mAhead >= mOptions.mMinTokens) {
    const double sample = std::clamp(prefill,
                                     expected / mOptions.mMaxDeviationFactor,
                                     expected * mOptions.mMaxDeviationFactor);
    // Weighted by the inverse of the wait: the error of a wait of a second is
    // larger than that of a tenth.
    const auto ahead = static_cast<double>(aBacklog.mAhead);
    const auto behind = static_cast<double>(aBacklog.mBehind);
    const double weight = 1 / std::max(sample, kMinPrefillMs);
    const double decay = mOptions.mDecay;
    service.mAheadAhead = service.mAheadAhead * decay + ahead * ahead * weight;
    service.mAheadBehind =
      service.mAheadBehind * decay + ahead * behind * weight;
    service.mBehindBehind =
      service.mBehindBehind * decay + behind * behind * weight;
    service.mAheadWait = service.mAheadWait * decay + ahead * sample * weight;
    service.mBehindWait =
      service.mBehindWait * decay + behind * sample * weight;
  }
  const double expectedWait = service.mMinWait + expected;
  const double slowness = std::clamp(
    wait / std::max(expectedWait, kMinPrefillMs), kMinSlowness, kMaxSlowness);
  const auto it = mEngines.find(aEngine);
  const double previous = it == mEngines.end() ? 1 : Decayed(it->second, aNow);
  mEngines[aEngine] = { .mSlowness =
                          previous + kNewestWeight * (slowness - previous),
                        .mAt = aNow };
}

void
EngineModel::OnEnded(const std::string& aService, Millis aDuration)
{
  mServices[aService].mAnswerMs.Add(static_cast<double>(aDuration.Count()));
}

double
EngineModel::AnswerMs(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mAnswerMs.Value();
}

EngineModel::Costs
EngineModel::CostsOf(const std::string& aService) const
{
  const Costs prior{ .mAhead = 1 / mOptions.mPriorPrefillPerMs,
                     .mBehind = mOptions.mPriorBehindCost /
                                mOptions.mPriorPrefillPerMs };
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return prior;
  }
  const Service& sums = it->second;
  // The prior counts as one more sample of each kind.
  const double weight = mOptions.mPriorTokens * mOptions.mPriorPrefillPerMs;
  const double aa = sums.mAheadAhead + weight;
  const double bb = sums.mBehindBehind + weight;
  const double ab = sums.mAheadBehind;
  const double aw = sums.mAheadWait + weight * prior.mAhead;
  const double bw = sums.mBehindWait + weight * prior.mBehind;
  const double determinant = aa * bb - ab * ab;
  const double ahead = (aw * bb - bw * ab) / determinant;
  const double behind = (bw * aa - aw * ab) / determinant;
  if (behind >= 0 && ahead >= behind) {
    return { .mAhead = ahead, .mBehind = behind };
  }
  // A less urgent token can't cost less than nothing or more than one ahead.
  const double together = (aw + bw) / (aa + bb + 2 * ab);
  return behind < 0 ? Costs{ .mAhead = aw / aa, .mBehind = 0 }
                    : Costs{ .mAhead = together, .mBehind = together };
}

double
EngineModel::PrefillPerMs(const std::string& aService) const
{
  return 1 / CostsOf(aService).mAhead;
}

double
EngineModel::PrefillMs(const std::string& aService,
                       const PrefillBacklog& aBacklog) const
{
  const Costs costs = CostsOf(aService);
  return static_cast<double>(aBacklog.mAhead) * costs.mAhead +
         static_cast<double>(aBacklog.mBehind) * costs.mBehind;
}

double
EngineModel::MinWaitMs(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.mMinWait;
}

double
EngineModel::Slowness(const UpstreamId& aEngine, Millis aNow) const
{
  const auto it = mEngines.find(aEngine);
  if (it == mEngines.end()) {
    return 1;
  }
  const double slowness = Decayed(it->second, aNow);
  return slowness < kMinReportedSlowness ? 1 : slowness;
}

double
EngineModel::Decayed(const Engine& aEngine, Millis aNow)
{
  const auto idle = static_cast<double>((aNow - aEngine.mAt).Count());
  return 1 + (aEngine.mSlowness - 1) * std::exp(-idle / kDecayMs);
}

void
EngineModel::UpdateMinWait(Service& aService, double aWait)
{
  if (!aService.mHasMinWait) {
    aService.mHasMinWait = true;
    aService.mMinWait = aWait;
    return;
  }
  aService.mMinWait = std::min(aWait, aService.mMinWait * (1 + kMinWaitRise));
}

} // namespace trefoilarch
