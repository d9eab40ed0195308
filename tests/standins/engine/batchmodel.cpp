#include "batchmodel.h"

#include <algorithm>
#include <tuple>

namespace standin {

BatchModel::BatchModel(BatchOptions aOptions)
  : mOptions(aOptions)
  , mCache(aOptions.mCacheBlocks)
{
}

bool
BatchModel::MoreUrgent(const Member& aLeft, const Member& aRight)
{
  return std::tie(aLeft.mSequence.mPriority, aLeft.mOrder) <
         std::tie(aRight.mSequence.mPriority, aRight.mOrder);
}

void
BatchModel::Add(Sequence aSequence)
{
  Member member{ .mSequence = std::move(aSequence), .mOrder = mNextOrder++ };
  const auto position =
    std::upper_bound(mWaiting.begin(), mWaiting.end(), member, MoreUrgent);
  mWaiting.insert(position, std::move(member));
}

void
BatchModel::Remove(uint64_t aId)
{
  const auto hasId = [aId](const Member& aMember) {
    return aMember.mSequence.mId == aId;
  };
  mRunning.remove_if(hasId);
  mWaiting.remove_if(hasId);
}

BatchStep
BatchModel::Step()
{
  Admit();
  BatchStep step;
  step.mMillis = mOptions.mStepMillis +
                 mOptions.mSequenceMillis * static_cast<double>(Running());
  step.mMillis += Prefill();
  Decode(step);
  PreemptUntilFits();
  return step;
}

void
BatchModel::Admit()
{
  while (!mWaiting.empty() && mRunning.size() < mOptions.mMaxRunning) {
    const size_t needed = mWaiting.front().Tokens() + 1;
    const bool fits = TokensInUse() + needed <= mOptions.mMemoryTokens;
    if (!fits && !mRunning.empty()) {
      return;
    }
    Member member = std::move(mWaiting.front());
    mWaiting.pop_front();
    EnterBatch(std::move(member));
  }
}

void
BatchModel::EnterBatch(Member aMember)
{
  const size_t hits = mCache.LookUpAndInsert(aMember.mSequence.mBlocks);
  const size_t cached = std::min(hits * kBlockTokens, aMember.Tokens());
  aMember.mToPrefill = std::max<size_t>(aMember.Tokens() - cached, 1);
  mRunning.push_back(std::move(aMember));
}

double
BatchModel::Prefill()
{
  size_t budget = mOptions.mPrefillBudget;
  for (Member& member : mRunning) {
    const size_t chunk = std::min(member.mToPrefill, budget);
    member.mToPrefill -= chunk;
    budget -= chunk;
  }
  mPrefilledTokens += mOptions.mPrefillBudget - budget;
  return mOptions.mPrefillMillis *
         static_cast<double>(mOptions.mPrefillBudget - budget);
}

void
BatchModel::Decode(BatchStep& aStep)
{
  for (auto member = mRunning.begin(); member != mRunning.end();) {
    if (member->mToPrefill == 0) {
      ++member->mGenerated;
      aStep.mTokens.push_back(member->mSequence.mId);
    }
    const bool finished = member->mGenerated >= member->mSequence.mOutputTokens;
    member = finished ? mRunning.erase(member) : std::next(member);
  }
}

void
BatchModel::PreemptUntilFits()
{
  while (TokensInUse() > mOptions.mMemoryTokens && mRunning.size() > 1) {
    const auto leastUrgent =
      std::max_element(mRunning.begin(), mRunning.end(), MoreUrgent);
    Member member = std::move(*leastUrgent);
    mRunning.erase(leastUrgent);
    mPreempted++;
    const auto position =
      std::upper_bound(mWaiting.begin(), mWaiting.end(), member, MoreUrgent);
    mWaiting.insert(position, std::move(member));
  }
}

size_t
BatchModel::TokensInUse() const
{
  size_t tokens = 0;
  for (const Member& member : mRunning) {
    tokens += member.Tokens();
  }
  return tokens;
}

double
BatchModel::MemoryUsage() const
{
  return static_cast<double>(TokensInUse()) /
         static_cast<double>(mOptions.mMemoryTokens);
}

} // namespace standin
