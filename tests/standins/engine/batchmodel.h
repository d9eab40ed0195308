#pragma once

#include "prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace standin {

/** The size and speed of the engine that a BatchModel stands for. */
struct BatchOptions
{
  size_t mMaxRunning = 32;
  size_t mMemoryTokens = 32768; /**< key-value memory of all that runs */
  size_t mCacheBlocks = 4096;   /**< prefix cache, in blocks */
  size_t mPrefillBudget = 2048; /**< prompt tokens in one step at the most */
  double mStepMillis = 4;       /**< of an empty step */
  double mSequenceMillis = 0.15;
  double mPrefillMillis = 0.02; /**< each prompt token that is not cached */
};

/** One request as the batch sees it. */
struct Sequence
{
  uint64_t mId = 0;
  int mPriority = 0; /**< lower is more urgent */
  std::vector<uint64_t> mBlocks;
  size_t mPromptTokens = 0;
  size_t mOutputTokens = 0;
};

/** What one step of the batch took and brought. */
struct BatchStep
{
  double mMillis = 0;
  std::vector<uint64_t> mTokens; /**< sequences that got their next token */
};

/**
 * Continuous batching, in the manner of the published engines: the most
 * urgent waiting request enters whenever there is room, prompts are prefilled
 * in pieces beside the decoding ones, and a step takes longer the more it
 * holds. Where memory runs out, the least urgent request goes back to the
 * queue and is computed anew. No clock: the caller lets the time pass.
 */
class BatchModel
{
public:
  explicit BatchModel(BatchOptions aOptions);

  void Add(Sequence aSequence);
  /** Takes a cancelled request out at once. */
  void Remove(uint64_t aId);
  BatchStep Step();

  /** Leading blocks of a prompt that need not be read. */
  size_t CachedBlocks(const std::vector<uint64_t>& aBlocks) const
  {
    return mCache.CachedBlocks(aBlocks);
  }
  /** Puts blocks that another engine has read into the cache. */
  void AddToCache(const std::vector<uint64_t>& aBlocks)
  {
    mCache.Take(aBlocks);
  }

  bool Idle() const { return mRunning.empty() && mWaiting.empty(); }
  size_t Running() const { return mRunning.size(); }
  size_t Waiting() const { return mWaiting.size(); }
  /** Prompt tokens read since the start, not counting cached ones. */
  uint64_t PrefilledTokens() const { return mPrefilled; }
  /** Requests that went back to the queue since the start. */
  uint64_t Preempted() const { return mPreempted; }
  /** Share of the key-value memory in use, 0 to 1. */
  double MemoryUsage() const;

private:
  struct Member
  {
    Sequence mSequence;
    uint64_t mOrder = 0;
    size_t mToPrefill = 0;
    size_t mDone = 0; /**< output tokens so far */
    size_t Tokens() const { return mSequence.mPromptTokens + mDone; }
  };

  static bool MoreUrgent(const Member& aLeft, const Member& aRight);
  void Admit();
  void EnterBatch(Member aMember);
  /** Time that the prefill of this step takes. */
  double Prefill();
  void Decode(BatchStep& aStep);
  void MakeRoom();
  size_t TokensInUse() const;

  BatchOptions mOptions;
  PrefixCache mCache;
  std::list<Member> mRunning;
  std::list<Member> mWaiting; /**< most urgent first */
  uint64_t mNextOrder = 0;
  uint64_t mPrefilled = 0;
  uint64_t mPreempted = 0;
};

} // namespace standin
