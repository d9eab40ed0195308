#pragma once

#include "standins/engine/batchmodel.h"
#include "virtualtime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace replay {

/** A request as an engine receives it. */
struct EngineCall
{
  uint64_t mId = 0;
  int mPriority = 0;
  uint64_t mPrefix = 0;
  uint32_t mPrefixTokens = 0;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

/** The tokens that an engine processed for one call. */
struct Execution
{
  uint64_t mId = 0;
  uint32_t mPromptTokens = 0; /**< 0 if it was cancelled before its prefill */
  uint32_t mOutputTokens = 0;
};

/** Called for each generated token; the last one ends the call. */
using OnToken = std::function<void(uint64_t aId, bool aLast)>;

/**
 * A simulated engine in virtual time: steps the stand-in's batch model at a
 * variable speed and records the tokens processed for each call.
 */
class VirtualEngine
{
public:
  VirtualEngine(VirtualTime& aTime,
                standin::BatchOptions aOptions,
                OnToken aOnToken);

  void Start(const EngineCall& aCall);
  /** Starts the call after fetching the prompt blocks that only aHolder has in
   * its cache. A fetch takes a ninth of the time of their prefill. */
  void StartWithPrefixFrom(const EngineCall& aCall,
                           const VirtualEngine& aHolder);
  void Cancel(uint64_t aId);
  /** Drops all calls without reporting their end. */
  void Crash();
  /** Sets the factor on the duration of steps. */
  void SetSlowdown(double aFactor) { mSlowdown = aFactor; }

  size_t Running() const { return mBatch.Running(); }
  size_t Waiting() const { return mBatch.Waiting(); }
  uint64_t PrefilledTokens() const { return mBatch.PrefilledTokens(); }
  size_t OpenCalls() const { return mCalls.size(); }
  /** Calls that have ended, complete or not. */
  const std::vector<Execution>& Executions() const { return mExecutions; }

private:
  struct Call
  {
    uint32_t mPrompt = 0;
    uint32_t mOutput = 0;
    uint32_t mGeneratedTokens = 0;
  };

  /** Records the call's execution and removes the call. */
  void Close(uint64_t aId);

  void Step();
  static std::vector<uint64_t> BlocksOf(const EngineCall& aCall);
  void Deliver(const standin::BatchStep& aStep);

  VirtualTime& mTime;
  standin::BatchOptions mOptions;
  standin::BatchModel mBatch;
  OnToken mOnToken;
  std::map<uint64_t, Call> mCalls;
  std::vector<Execution> mExecutions;
  double mClock = 0;
  double mSlowdown = 1;
  bool mStepping = false;
  uint64_t mIncarnation = 0;
};

} // namespace replay
