#pragma once

#include "ids.h"
#include "millis.h"
#include "runningmean.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace trefoilarch {

/** Prompt tokens that an engine has to read around an answer's start. */
struct PrefillBacklog
{
  /** Before it, its own prompt included. */
  uint64_t mAhead = 0;
  /** Of less urgent prompts: an engine that has begun them may go on. */
  uint64_t mBehind = 0;

  bool operator==(const PrefillBacklog&) const = default;
};

/** What an EngineModel starts from. */
struct EngineModelOptions
{
  /** Prompt tokens that an engine reads in a millisecond: a start only, which
   * weighs as much as one prompt of mPriorTokens that was observed. */
  double mPriorPrefillPerMs = 60;
  double mPriorTokens = 8000;
  /** What a less urgent token holds an answer up, beside one that is before
   * it: a start as well. */
  double mPriorBehindCost = 0.2;
  /** Samples with fewer tokens before the answer say little of reading; they
   * show how long an answer takes where nothing has to be read. */
  uint64_t mMinTokens = 800;
  /** The share of what was observed that the next sample leaves standing:
   * some thirty samples count. */
  double mDecay = 0.97;
  /** One sample may be off by this factor: an engine that stood still must
   * not be taken for the service's usual speed. */
  double mMaxDeviationFactor = 4;
};

/**
 * What a service's engines do in a millisecond, learnt from how long first
 * tokens take: the wait beyond the shortest one is the reading of the prompts
 * before the answer, its own included, and of less urgent ones as far as the
 * engine does not put them off; both by least squares over what fades. An
 * engine that takes longer than that says is told apart from its peers by a
 * factor of its own.
 */
class EngineModel
{
public:
  explicit EngineModel(EngineModelOptions aOptions = {});

  /** An answer began after aWait; so much had to be read at the engine since
   * the request was sent. */
  void OnStarted(const std::string& aService,
                 const UpstreamId& aEngine,
                 const PrefillBacklog& aReads,
                 Millis aWait,
                 Millis aNow);
  /** An answer that began so long ago has ended. */
  void OnEnded(const std::string& aService, Millis aTook);
  void Forget(const UpstreamId& aEngine) { mEngines.erase(aEngine); }

  /** Prompt tokens in a millisecond, beside the answers that are under way. */
  double PrefillPerMs(const std::string& aService) const;
  /** How long reading that much takes, in milliseconds. */
  double PrefillMs(const std::string& aService,
                   const PrefillBacklog& aReads) const;
  /** How long a first token takes where nothing has to be read. */
  double MinWaitMs(const std::string& aService) const;
  /** How long an answer holds a slot on average, in milliseconds; 0: not known
   * yet. */
  double AnswerMs(const std::string& aService) const;
  /** How many times as long as its peers the engine takes; 1 where nothing is
   * known or it is not much slower, and again once it was not asked for
   * a while. */
  double Slowness(const UpstreamId& aEngine, Millis aNow) const;

private:
  /** Weight of the newest answer's time, once there were some. */
  static constexpr double kNewestAnswer = 0.02;

  struct Service
  {
    /** Sums of products of tokens ahead, tokens behind and the wait. */
    double mAheadAhead = 0;
    double mAheadBehind = 0;
    double mBehindBehind = 0;
    double mAheadWait = 0;
    double mBehindWait = 0;
    double mLeastWait = 0;
    RunningMean mAnswerMs{ kNewestAnswer };
    bool mSeen = false;
  };
  /** Milliseconds for a token. */
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

  static double Faded(const Engine& aEngine, Millis aNow);
  Costs CostsOf(const std::string& aService) const;
  static void SeeLeast(Service& aService, double aWait);

  EngineModelOptions mOptions;
  std::unordered_map<std::string, Service> mServices;
  std::unordered_map<UpstreamId, Engine> mEngines;
};

} // namespace trefoilarch
