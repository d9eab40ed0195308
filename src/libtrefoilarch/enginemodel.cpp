#include "enginemodel.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Weight of an engine's newest sample: four make most of its factor. */
constexpr double kNewest = 0.3;

/** An engine's factor fades by this time constant while it is not asked. */
constexpr double kFadeMs = 6000;

/** Under load a sound engine's waits are off by as much, by what was logged of
 * single days; what the threshold gains was not measured by itself. */
constexpr double kTelling = 3;

constexpr double kLeastSlowness = 0.5;
constexpr double kMostSlowness = 8;

/** The shortest wait rises by this share with each sample, so that one lucky
 * answer does not hold for ever. */
constexpr double kLeastWaitRise = 0.002;

/** Waits of some milliseconds are mostly chance. */
constexpr double kLeastReadingMs = 1;

} // namespace

EngineModel::EngineModel(EngineModelOptions aOptions)
  : mOptions(aOptions)
{
}

void
EngineModel::OnStarted(const std::string& aService,
                       const UpstreamId& aEngine,
                       const PrefillBacklog& aReads,
                       Millis aWait,
                       Millis aNow)
{
  Service& service = mServices[aService];
  const auto wait = static_cast<double>(aWait.Count());
  if (aReads.mAhead < mOptions.mMinTokens) {
    // The shortest wait of prompts that take no time to read is what is left.
    SeeLeast(service, wait);
  }
  const double expected = PrefillMs(aService, aReads);
  const double reading = std::max(wait - service.mLeastWait, kLeastReadingMs);
  if (aReads.mAhead >= mOptions.mMinTokens) {
    const double taken = std::clamp(reading,
                                    expected / mOptions.mMaxDeviationFactor,
                                    expected * mOptions.mMaxDeviationFactor);
    // Each sample weighs by its wait: one of a second is off by more than one
    // of a tenth.
    const auto ahead = static_cast<double>(aReads.mAhead);
    const auto behind = static_cast<double>(aReads.mBehind);
    const double weight = 1 / std::max(taken, kLeastReadingMs);
    const double kept = mOptions.mDecay;
    service.mAheadAhead = service.mAheadAhead * kept + ahead * ahead * weight;
    service.mAheadBehind =
      service.mAheadBehind * kept + ahead * behind * weight;
    service.mBehindBehind =
      service.mBehindBehind * kept + behind * behind * weight;
    service.mAheadWait = service.mAheadWait * kept + ahead * taken * weight;
    service.mBehindWait = service.mBehindWait * kept + behind * taken * weight;
  }
  const double usual = service.mLeastWait + expected;
  const double slowness = std::clamp(
    wait / std::max(usual, kLeastReadingMs), kLeastSlowness, kMostSlowness);
  const auto place = mEngines.find(aEngine);
  const double before =
    place == mEngines.end() ? 1 : Faded(place->second, aNow);
  mEngines[aEngine] = { .mSlowness = before + kNewest * (slowness - before),
                        .mAt = aNow };
}

void
EngineModel::OnEnded(const std::string& aService, Millis aTook)
{
  mServices[aService].mAnswerMs.Add(static_cast<double>(aTook.Count()));
}

double
EngineModel::AnswerMs(const std::string& aService) const
{
  const auto place = mServices.find(aService);
  return place == mServices.end() ? 0 : place->second.mAnswerMs.Value();
}

EngineModel::Costs
EngineModel::CostsOf(const std::string& aService) const
{
  const Costs prior{ .mAhead = 1 / mOptions.mPriorPrefillPerMs,
                     .mBehind = mOptions.mPriorBehindCost /
                                mOptions.mPriorPrefillPerMs };
  const auto place = mServices.find(aService);
  if (place == mServices.end()) {
    return prior;
  }
  const Service& seen = place->second;
  // The prior is one more sample of each kind.
  const double weight = mOptions.mPriorTokens * mOptions.mPriorPrefillPerMs;
  const double aa = seen.mAheadAhead + weight;
  const double bb = seen.mBehindBehind + weight;
  const double ab = seen.mAheadBehind;
  const double aw = seen.mAheadWait + weight * prior.mAhead;
  const double bw = seen.mBehindWait + weight * prior.mBehind;
  const double determinant = aa * bb - ab * ab;
  const double ahead = (aw * bb - bw * ab) / determinant;
  const double behind = (bw * aa - aw * ab) / determinant;
  if (behind >= 0 && ahead >= behind) {
    return { .mAhead = ahead, .mBehind = behind };
  }
  // Neither can a less urgent token help, nor cost more than one before it.
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
                       const PrefillBacklog& aReads) const
{
  const Costs costs = CostsOf(aService);
  return static_cast<double>(aReads.mAhead) * costs.mAhead +
         static_cast<double>(aReads.mBehind) * costs.mBehind;
}

double
EngineModel::MinWaitMs(const std::string& aService) const
{
  const auto place = mServices.find(aService);
  return place == mServices.end() ? 0 : place->second.mLeastWait;
}

double
EngineModel::Slowness(const UpstreamId& aEngine, Millis aNow) const
{
  const auto place = mEngines.find(aEngine);
  if (place == mEngines.end()) {
    return 1;
  }
  const double slowness = Faded(place->second, aNow);
  return slowness < kTelling ? 1 : slowness;
}

double
EngineModel::Faded(const Engine& aEngine, Millis aNow)
{
  const auto idle = static_cast<double>((aNow - aEngine.mAt).Count());
  return 1 + (aEngine.mSlowness - 1) * std::exp(-idle / kFadeMs);
}

void
EngineModel::SeeLeast(Service& aService, double aWait)
{
  if (!aService.mSeen) {
    aService.mSeen = true;
    aService.mLeastWait = aWait;
    return;
  }
  aService.mLeastWait =
    std::min(aWait, aService.mLeastWait * (1 + kLeastWaitRise));
}

} // namespace trefoilarch
