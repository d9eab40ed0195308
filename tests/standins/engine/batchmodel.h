#pragma once

#include "prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace standin {

/** The capacity and speed of the engine that a BatchModel simulates. */
struct BatchOptions
{
  size_t mMaxRunning = 32;
  size_t mMemoryTokens = 32768; /**< key-value memory of the running batch */
  size_t mCacheBlocks = 4096;   /**< prefix cache, in blocks */
  size_t mPrefillBudget = 2048; /**< max. prompt tokens in one step */
  double mStepMillis = 4;       /**< duration of an empty step */
  double mSequenceMillis = 0.15;
  double mPrefillMillis = 0.02; /**< per uncached prompt token */
};

/** A request in the form that the batch schedules. */
struct Sequence
{
  uint64_t mId = 0;
  int mPriority = 0; /**< lower is more urgent */
  std::vector<uint64_t> mBlocks;
  size_t mPromptTokens = 0;
  size_t mOutputTokens = 0;
};

/** The duration and the output of one step of the batch. */
struct BatchStep
{
  double mMillis = 0;
  std::vector<uint64_t> mTokens; /**< sequences that got a token */
};

/**
 * Simulates continuous batching as published engines do it: the most urgent
 * waiting request is admitted whenever capacity is free, prompts are prefilled
 * in chunks while other sequences decode, and larger batches take longer
 * steps. If memory runs out, the least urgent request is preempted: it returns
 * to the queue and is recomputed. Reads no clock: the caller advances time.
 */
class BatchModel
{
public:
  explicit BatchModel(BatchOptions aOptions);

  void Add(Sequence aSequence);
  /** Removes a cancelled request at once. */
  void Remove(uint64_t aId);
  BatchStep Step();

  /** Returns the number of leading prompt blocks that are cached. */
  size_t CachedBlocks(const std::vector<uint64_t>& aBlocks) const
  {
    return mCache.CachedBlocks(aBlocks);
  }
  /** Adds blocks that another engine has prefilled to the cache. */
  void AddToCache(const std::vector<uint64_t>& aBlocks)
  {
    mCache.LookUpAndInsert(aBlocks);
  }

  bool Idle() const { return mRunning.empty() && mWaiting.empty(); }
  size_t Running() const { return mRunning.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  /** Prompt tokens prefilled since the start, without cached ones. */
  uint64_t PrefilledTokens() const { return mPrefilledTokens; }
  /** Number of preemptions since the start. */
  uint64_t Preempted() const { return mPreempted; }
  /** Share of the key-value memory in use, 0 to 1. */
  double MemoryUsage() const;

private:
  struct Member
  {
    Sequence mSequence;
    uint64_t mOrder = 0;
    size_t mToPrefill = 0;
    size_t mGenerated = 0; /**< output tokens generated */
    size_t Tokens() const { return mSequence.mPromptTokens + mGenerated; }
  };

  static bool MoreUrgent(const Member& aLeft, const Member& aRight);
  void Admit();
  void EnterBatch(Member aMember);
  /** Prefills within the budget; returns the milliseconds it takes. */
  double Prefill();
  void Decode(BatchStep& aStep);
  void PreemptUntilFits();
  size_t TokensInUse() const;

  BatchOptions mOptions;
  PrefixCache mCache;
  std::list<Member> mRunning;
  std::list<Member> mWaiting; /**< most urgent first */
  uint64_t mNextOrder = 0;
  uint64_t mPrefilledTokens = 0;
  uint64_t mPreempted = 0;
};

} // namespace standin
