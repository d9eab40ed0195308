#pragma once

#include <cstddef>
#include <mutex>

namespace trefoilarch {

/**
 * The bytes of all answers that an entry holds for its callers. No answer may
 * hold more than is free, so that answers without end leave room for others
 * (dynamic threshold). Thread-safe.
 */
class AnswerBudget
{
public:
  explicit AnswerBudget(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /** Adds bytes to an answer that holds aHeldBytes; returns false if it may not
   * hold them. */
  bool Take(size_t aHeldBytes, size_t aBytes);
  void Release(size_t aBytes);
  size_t TotalBytes() const;

private:
  const size_t mMaxBytes;
  mutable std::mutex mMutex;
  size_t mTotalBytes = 0;
};

} // namespace trefoilarch
