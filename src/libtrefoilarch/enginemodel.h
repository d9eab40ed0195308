#pragma once

#include "ids.h"
#include "millis.h"
#include "runningmean.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** Prompt tokens that an engine must prefill before or around the start of a
 * response. */
struct PrefillBacklog
{
  /** Tokens ahead of the response, its own prompt included. */
  uint64_t mAhead = 0;
  /** Tokens of less urgent prompts: an engine may finish those that it has
   * started. */
  uint64_t mBehind = 0;

  bool operator==(const PrefillBacklog&) const = default;
};

/** Settings and priors of an EngineModel. */
struct EngineModelOptions
{
  /** Prior of the prompt tokens that an engine prefills in a millisecond. It
   * weighs as much as one observed prompt of mPriorTokens. */
  double mPriorPrefillPerMs = 60;
  double mPriorTokens = 8000;
  /** Prior of the cost of a less urgent token, relative to a token ahead. */
  double mPriorBehindCost = 0.2;
  /** Samples with fewer tokens ahead tell little about the prefill rate. They
   * show how long a response takes without any prefill. */
  uint64_t mMinTokens = 800;
  /** Weight that older samples keep with each new one: some thirty samples
   * count. */
  double mDecay = 0.97;
  /** Maximum factor between a sample and its expected value: an engine that
   * stalled must not change the service's usual rate. */
  double mMaxDeviationFactor = 4;
};

/**
 * Learns the prefill rate of a service's engines from the time to first token.
 * The wait beyond the shortest one is the prefill of the prompts ahead of the
 * response, its own included, and of less urgent prompts as far as the engine
 * doesn't defer them. Both costs are fitted by least squares over decaying
 * sums. An engine that is slower than this predicts gets a factor of its own.
 */
class EngineModel
{
public:
  explicit EngineModel(EngineModelOptions aOptions = {});

  /** A response began after aWait, with that prefill backlog at the engine
   * since the request was sent. */
  void OnStarted(const std::string& aService,
                 const UpstreamId& aEngine,
                 const PrefillBacklog& aBacklog,
                 Millis aWait,
                 Millis aNow);
  /** A response that began aDuration ago has ended. */
  void OnEnded(const std::string& aService, Millis aDuration);
  void Forget(const UpstreamId& aEngine) { mEngines.erase(aEngine); }

  /** Prompt tokens that an engine prefills in a millisecond, beside its running
   * responses. */
  double PrefillPerMs(const std::string& aService) const;
  /** How long the prefill of that backlog takes, in milliseconds. */
  double PrefillMs(const std::string& aService,
                   const PrefillBacklog& aBacklog) const;
  /** The time to first token without any prefill, in milliseconds. */
  double MinWaitMs(const std::string& aService) const;
  /** The mean time for which a response holds a slot, in milliseconds; 0 if
   * unknown. */
  double AnswerMs(const std::string& aService) const;
  /** How many times as long as its peers the engine takes. 1 if nothing is
   * known or it is not much slower, and again after it was unused for a
   * while. */
  double Slowness(const UpstreamId& aEngine, Millis aNow) const;

private:
  /** Weight of the newest response's duration. */
  static constexpr double kNewestAnswerWeight = 0.02;

  struct Service
  {
    /** Weighted sums of products of tokens ahead, tokens behind and the
     * wait. */
    double mAheadAhead = 0;
    double mAheadBehind = 0;
    double mBehindBehind = 0;
    double mAheadWait = 0;
    double mBehindWait = 0;
    double mMinWait = 0;
    RunningMean mAnswerMs{ kNewestAnswerWeight };
    bool mHasMinWait = false;
  };
  /** Milliseconds per token. */
  struct Costs
  {
    double mAhead = 0;
    double mBehind = 0;
  };
  struct Engine
  {
    double mSlowness = 1;
    Millis mAt;
  };

  static double Decayed(const Engine& aEngine, Millis aNow);
  Costs CostsOf(const std::string& aService) const;
  static void UpdateMinWait(Service& aService, double aWait);

  EngineModelOptions mOptions;
  std::unordered_map<std::string, Service> mServices;
  std::unordered_map<UpstreamId, Engine> mEngines;
};

} // namespace trefoilarch
