#include "answerbudget.h"

namespace trefoilarch {

bool
AnswerBudget::Take(size_t aHeldBytes, size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  if (aHeldBytes + aBytes > mMaxBytes - mTotalBytes) {
    return false;
  }
  mTotalBytes += aBytes;
  return true;
}

void
AnswerBudget::Release(size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mTotalBytes -= aBytes;
}

size_t
AnswerBudget::TotalBytes() const
{
  const std::lock_guard lock(mMutex);
  return mTotalBytes;
}

} // namespace trefoilarch
