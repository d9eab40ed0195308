#pragma once

#include "standins/engine/batchmodel.h"
#include "virtualtime.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace replay {

/** One request as an engine gets it. */
struct EngineCall
{
  uint64_t mId = 0;
  int mPriority = 0;
  uint64_t mPrefix = 0;
  uint32_t mPrefixTokens = 0;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

/** What an engine has spent on one call. */
struct Execution
{
  uint64_t mId = 0;
  uint32_t mPromptTokens = 0; /**< 0 if it left before its prefill */
  uint32_t mOutputTokens = 0;
};

/** What an engine tells of a request; the last token ends it. */
using OnToken = std::function<void(uint64_t aId, bool aLast)>;

/**
 * A model engine in virtual time: the stand-in's batch model, stepped, with a
 * speed that can change. It counts the work that each request cost.
 */
class VirtualEngine
{
public:
  VirtualEngine(VirtualTime& aTime,
                standin::BatchOptions aOptions,
                OnToken aOnToken);

  void Start(const EngineCall& aCall);
  /** Starts it once what aHolder has of its prompt beyond what is here has been
   * brought, at a ninth of the time that reading takes. */
  void StartWith(const EngineCall& aCall, const VirtualEngine& aHolder);
  void Cancel(uint64_t aId);
  /** Loses all that runs; nobody is told. */
  void Crash();
  /** Steps take this many times as long. */
  void SetSlow(double aFactor) { mSlow = aFactor; }

  size_t Running() const { return mBatch.Running(); }
  size_t Waiting() const { return mBatch.Waiting(); }
  uint64_t PrefilledTokens() const { return mBatch.PrefilledTokens(); }
  size_t Open() const { return mCalls.size(); }
  /** Calls that are over, whole or not. */
  const std::vector<Execution>& Executions() const { return mExecutions; }

private:
  struct Call
  {
    uint32_t mPrompt = 0;
    uint32_t mOutput = 0;
    uint32_t mDone = 0;
  };

  /** Notes what the call has cost and forgets it. */
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
  double mSlow = 1;
  bool mStepping = false;
  uint64_t mLife = 0;
};

} // namespace replay
