#include "enginepace.h"

#include <algorithm>
#include <cmath>

namespace trefoilarch {

namespace {

/** Events after which the weight of all older ones is halved: at some hundred
 * events per second, the last ten to twenty seconds count. */
constexpr uint32_t kHalvingEvents = 2048;

/** Maximum multiple of the expectation that a pause counts in the fit: a stall
 * must not change the service's usual pace. */
constexpr double kMaxDeviationFactor = 8;

/** An expectation below this share of the prior, as of events that arrive
 * together, must not limit later pauses or outweigh them. */
constexpr double kMinPriorShare = 0.25;

/** The backlogs up to which pending prompts prolong an event. Chunk sizes are
 * not known: the fit chooses between those of 512, 1024 and 2048 tokens and
 * events of some four steps. */
constexpr double kSmallChunksTokens = 2048;
constexpr double kMediumChunksTokens = 4096;
constexpr double kLargeChunksTokens = 8192;

/** Context is counted in units of this, so that its coefficient is of the size
 * of the others. */
constexpr double kContextUnit = 100000;

/** Number of running requests, of context units and share of the limit of the
 * backlog that the samples of the prior have. */
constexpr double kPriorRunning = 16;
constexpr double kPriorContext = 0.5;
constexpr double kPriorBacklog = 0.5;

/** Values beyond these are faults. */
constexpr double kMaxRunning = 10000;
constexpr double kMaxTokens = 1e8;
constexpr double kMaxPauseMs = 600000;
constexpr double kMinFactor = 0.04;
constexpr double kMaxFactor = 64;
constexpr double kMaxEvents = 1e6;
constexpr double kMinTokensPerMs = 0.001;

/** Avoids divisions by 0. */
constexpr double kMinEventMs = 0.01;

/** There are too few samples for higher quantiles. */
constexpr double kMaxPauseProbability = 0.998;

/** Services come from the policy; others don't take memory for long. */
constexpr size_t kMaxServices = 256;

/** The value within bounds; the lower one if it isn't a number. */
double
Bounded(double aValue, double aMin, double aMax)
{
  return aValue > aMin ? std::min(aValue, aMax) : aMin;
}

double
FactorOf(const EngineSituation& aSituation)
{
  return Bounded(aSituation.mWorkFactor, kMinFactor, kMaxFactor);
}

double
PendingOf(const EngineSituation& aSituation)
{
  return Bounded(aSituation.mPendingPromptTokens, 0, kMaxTokens);
}

/** Sum of squares of a quantity, weighted like an event that takes that many
 * times the prior's base. */
double
PriorWeight(double aSamples, double aQuantity, double aRelativeMs = 1)
{
  const double relative = aQuantity / std::max(aRelativeMs, 1.0);
  return aSamples * relative * relative;
}

/** How many times as long an event takes while the engine reads prompts. */
double
ReadingFactor(const EnginePaceOptions& aOptions)
{
  return 1 + aOptions.mPriorReadingMs /
               std::max(aOptions.mPriorEventMs, kMinEventMs);
}

} // namespace

EnginePace::Service::Service(const EnginePaceOptions& aOptions)
  : mEventMs({ aOptions.mPriorEventMs,
               aOptions.mPriorRunningMs,
               0,
               aOptions.mPriorReadingMs / 3,
               aOptions.mPriorReadingMs / 3,
               aOptions.mPriorReadingMs / 3 },
             { PriorWeight(aOptions.mPriorSamples, 1),
               PriorWeight(aOptions.mPriorSamples, kPriorRunning),
               PriorWeight(aOptions.mPriorSamples, kPriorContext),
               PriorWeight(aOptions.mPriorSamples,
                           kPriorBacklog,
                           ReadingFactor(aOptions)),
               PriorWeight(aOptions.mPriorSamples,
                           kPriorBacklog,
                           ReadingFactor(aOptions)),
               PriorWeight(aOptions.mPriorSamples,
                           kPriorBacklog,
                           ReadingFactor(aOptions)) })
{
}

EnginePace::EnginePace(EnginePaceOptions aOptions)
  : mOptions(aOptions)
  , mPriors(aOptions)
{
}

EnginePace::Fit::Values
EnginePace::FeaturesOf(const EngineSituation& aSituation)
{
  const double pending = PendingOf(aSituation);
  return { 1,
           Bounded(aSituation.mRunning, 0, kMaxRunning),
           Bounded(aSituation.mContextTokens, 0, kMaxTokens) / kContextUnit,
           std::min(pending / kSmallChunksTokens, 1.0),
           std::min(pending / kMediumChunksTokens, 1.0),
           std::min(pending / kLargeChunksTokens, 1.0) };
}

size_t
EnginePace::BacklogOf(const EngineSituation& aSituation)
{
  const double pending = PendingOf(aSituation);
  if (pending <= 0) {
    return 0;
  }
  return pending < kSmallChunksTokens ? 1 : 2;
}

double
EnginePace::EventMs(const Service& aService, const EngineSituation& aSituation)
{
  return std::max(aService.mEventMs.Value(FeaturesOf(aSituation)), kMinEventMs);
}

void
EnginePace::OnEvent(const std::string& aService,
                    const EngineSituation& aSituation,
                    double aPauseMs,
                    Millis aNow)
{
  const bool valid = aPauseMs >= 0 && aPauseMs <= kMaxPauseMs;
  if (!valid) {
    return;
  }
  Service& service = Learning(aService, aNow);
  const double expected = EventMs(service, aSituation);
  const double actual = aPauseMs / FactorOf(aSituation);
  // The error of a pause grows with its length: the fit is of relative errors.
  // Weights are relative to the prior's event, as the prior's own are.
  const double usual =
    std::max(expected, mOptions.mPriorEventMs * kMinPriorShare);
  const double relative = mOptions.mPriorEventMs / usual;
  service.mEventMs.Add(FeaturesOf(aSituation),
                       std::min(actual, usual * kMaxDeviationFactor),
                       relative * relative);
  service.mSpreads[BacklogOf(aSituation)].Add(actual / expected);
  if (++service.mEvents % kHalvingEvents == 0) {
    Decay(service);
  }
}

void
EnginePace::Decay(Service& aService)
{
  constexpr double kPart = 0.5;
  aService.mEventMs.Decay(kPart);
  for (RatioSpread& each : aService.mSpreads) {
    each.Decay(kPart);
  }
}

double
EnginePace::ExpectedEventMs(const std::string& aService,
                            const EngineSituation& aSituation) const
{
  return EventMs(Known(aService), aSituation);
}

PaceForecast
EnginePace::Forecast(const std::string& aService,
                     const EngineSituation& aSituation,
                     const PaceRequest& aRequest) const
{
  const Service& service = Known(aService);
  const double factor = FactorOf(aSituation);
  const double prompt = Bounded(aRequest.mPromptTokens, 0, kMaxTokens);
  const double perMs =
    Bounded(aRequest.mPromptTokensPerMs, kMinTokensPerMs, kMaxTokens);
  const double events = Bounded(aRequest.mEvents, 1, kMaxEvents);
  EngineSituation beside = aSituation;
  beside.mRunning += 1;
  beside.mContextTokens += prompt;
  EngineSituation calm = beside;
  calm.mPendingPromptTokens = 0;

  // All prompts are read once, before or between the events; the rest of the
  // events take as long as without them.
  const double readMs = (PendingOf(aSituation) + prompt) / perMs;
  const double calmMs = EventMs(service, calm);
  const double quantile =
    service.mSpreads[BacklogOf(beside)].Quantile(PauseProbability(events));
  return { .mFirstTokenMs = factor * (readMs + calmMs),
           .mLongestPauseMs = factor * EventMs(service, beside) * quantile,
           .mEndMs = factor * (readMs + calmMs * events) };
}

double
EnginePace::PauseProbability(double aEvents) const
{
  const double all = Bounded(mOptions.mPauseProbability, 0, 1);
  return std::min(std::pow(all, 1 / aEvents), kMaxPauseProbability);
}

const EnginePace::Service&
EnginePace::Known(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? mPriors : it->second;
}

EnginePace::Service&
EnginePace::Learning(const std::string& aService, Millis aNow)
{
  if (mServices.size() >= kMaxServices && !mServices.contains(aService)) {
    mServices.erase(std::min_element(mServices.begin(),
                                     mServices.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.mUsedAt <
                                              aRight.second.mUsedAt;
                                     }));
  }
  Service& service = mServices.try_emplace(aService, mPriors).first->second;
  service.mUsedAt = aNow;
  return service;
}

} // namespace trefoilarch
