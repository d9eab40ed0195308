#include "virtualengine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace replay {

VirtualEngine::VirtualEngine(VirtualTime& aTime,
                             standin::BatchOptions aOptions,
                             OnToken aOnToken)
  : mTime(aTime)
  , mOptions(aOptions)
  , mBatch(aOptions)
  , mOnToken(std::move(aOnToken))
{
}

std::vector<uint64_t>
VirtualEngine::BlocksOf(const EngineCall& aCall)
{
  std::vector<uint64_t> blocks;
  for (uint32_t i = 0; i < aCall.mPrefixTokens / standin::kBlockTokens; ++i) {
    blocks.push_back(aCall.mPrefix * 1000003 + i);
  }
  return blocks;
}

void
VirtualEngine::StartWithPrefixFrom(const EngineCall& aCall,
                                   const VirtualEngine& aHolder)
{
  std::vector<uint64_t> blocks = BlocksOf(aCall);
  const size_t cachedHere = mBatch.CachedBlocks(blocks);
  const size_t cachedAtHolder = aHolder.mBatch.CachedBlocks(blocks);
  if (cachedAtHolder <= cachedHere) {
    return Start(aCall);
  }
  blocks.resize(cachedAtHolder);
  constexpr double kFetchShare = 1.0 / 9;
  const double tokens =
    static_cast<double>((cachedAtHolder - cachedHere) * standin::kBlockTokens);
  const Millis fetchTime(static_cast<int64_t>(
    std::ceil(tokens * mOptions.mPrefillMillis * kFetchShare)));
  mTime.After(fetchTime, [this, aCall, blocks, incarnation = mIncarnation] {
    if (incarnation == mIncarnation) {
      mBatch.AddToCache(blocks);
      Start(aCall);
    }
  });
}

void
VirtualEngine::Start(const EngineCall& aCall)
{
  std::vector<uint64_t> blocks = BlocksOf(aCall);
  mCalls[aCall.mId] = { .mPrompt = aCall.mPromptTokens,
                        .mOutput = aCall.mOutputTokens };
  mBatch.Add({ .mId = aCall.mId,
               .mPriority = aCall.mPriority,
               .mBlocks = std::move(blocks),
               .mPromptTokens = aCall.mPromptTokens,
               .mOutputTokens = aCall.mOutputTokens });
  if (!mStepping) {
    mClock = static_cast<double>(mTime.Now().Count());
    Step();
  }
}

void
VirtualEngine::Cancel(uint64_t aId)
{
  Close(aId);
  mBatch.Remove(aId);
}

void
VirtualEngine::Crash()
{
  while (!mCalls.empty()) {
    Close(mCalls.begin()->first);
  }
  mBatch = standin::BatchModel(mOptions);
  mStepping = false;
  ++mIncarnation;
}

void
VirtualEngine::Close(uint64_t aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  const Call& call = found->second;
  const bool prefilled = call.mGeneratedTokens > 0 || mBatch.Waiting() == 0;
  mExecutions.push_back({ .mId = aId,
                          .mPromptTokens = prefilled ? call.mPrompt : 0,
                          .mOutputTokens = call.mGeneratedTokens });
  mCalls.erase(found);
}

void
VirtualEngine::Step()
{
  mStepping = !mBatch.Idle();
  if (!mStepping) {
    return;
  }
  const standin::BatchStep step = mBatch.Step();
  mClock += step.mMillis * mSlowdown;
  const Millis end(static_cast<int64_t>(std::ceil(mClock)));
  mTime.At(end, [this, step, incarnation = mIncarnation] {
    if (incarnation != mIncarnation) {
      return;
    }
    Deliver(step);
    Step();
  });
}

void
VirtualEngine::Deliver(const standin::BatchStep& aStep)
{
  for (const uint64_t id : aStep.mTokens) {
    const auto found = mCalls.find(id);
    if (found == mCalls.end()) {
      continue;
    }
    const bool last = ++found->second.mGeneratedTokens >= found->second.mOutput;
    if (last) {
      Close(id);
    }
    mOnToken(id, last);
  }
}

} // namespace replay
