#pragma once

#include "../millis.h"
#include "nonnegativefit.h"
#include "pacecost.h"
#include "paceforecast.h"
#include "ratiospread.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** Priors and settings of an EnginePace. */
struct EnginePaceOptions
{
  /** Priors of the time of an event at factor 1: on an idle engine, for each
   * running request, and if the engine reads prompts all the time. */
  double mPriorEventMs = 25;
  double mPriorRunningMs = 0.2;
  double mPriorReadingMs = 60;
  /** Samples that the priors count as. */
  double mPriorSamples = 4;
  /** The probability with which the longest pause of a stream is at most the
   * forecast. */
  double mPauseProbability = 0.8;
};

/**
 * Learns, by service, how long an event of a stream takes at factor 1: a base,
 * a part for each running request and its context, and a part for pending
 * prompts. Engines read prompts in chunks between the steps of the responses,
 * so that this part is limited by the chunks that fit into an event: a longer
 * backlog doesn't make pauses longer but makes them last longer. How much
 * pauses vary around the expectation is recorded by the backlog: on an idle
 * engine they are prolonged by prompts that this entry hasn't heard of.
 */
class EnginePace
{
public:
  explicit EnginePace(EnginePaceOptions aOptions = {});

  /** An event was received aPauseMs after the previous one of its stream. A
   * pause that isn't a duration is ignored. */
  void OnEvent(const std::string& aService,
               const EngineSituation& aSituation,
               double aPauseMs,
               Millis aNow);
  /** The mean time of an event at factor 1: the work factor is ignored. */
  double ExpectedEventMs(const std::string& aService,
                         const EngineSituation& aSituation) const;
  /** When a request would progress that is sent there now, the work factor
   * included. aSituation is without the request. */
  PaceForecast Forecast(const std::string& aService,
                        const EngineSituation& aSituation,
                        const PaceRequest& aRequest) const;

private:
  /** 1, running requests, context, and three parts of the backlog. */
  static constexpr size_t kFeatures = 6;
  /** No, a short and a long backlog. */
  static constexpr size_t kBacklogs = 3;

  using Fit = NonNegativeFit<kFeatures>;

  struct Service
  {
    explicit Service(const EnginePaceOptions& aOptions);

    Fit mEventMs;
    std::array<RatioSpread, kBacklogs> mSpreads;
    uint32_t mEvents = 0;
    Millis mUsedAt;
  };

  static Fit::Values FeaturesOf(const EngineSituation& aSituation);
  static size_t BacklogOf(const EngineSituation& aSituation);
  static double EventMs(const Service& aService,
                        const EngineSituation& aSituation);
  static void Decay(Service& aService);

  /** The service, or the priors. */
  const Service& Known(const std::string& aService) const;
  Service& Learning(const std::string& aService, Millis aNow);
  /** The probability that one pause must keep its bound with, so that all
   * pauses of the stream do. */
  double PauseProbability(double aEvents) const;

  EnginePaceOptions mOptions;
  Service mPriors;
  std::unordered_map<std::string, Service> mServices;
};

} // namespace trefoilarch
