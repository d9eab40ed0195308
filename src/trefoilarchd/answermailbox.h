#pragma once

#include "libtrefoilarch/entrycore.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace trefoilarch {

/** One thing that happens to a caller's answer. */
using AnswerEvent =
  std::variant<AnswerHead, AnswerData, AnswerEnd, AnswerError>;

/**
 * Carries one request's answer from the router's thread to the thread of the
 * caller's connection. Bounded in bytes: a caller that does not read is told
 * apart by Push() returning false.
 */
class AnswerMailbox
{
public:
  explicit AnswerMailbox(size_t aMostBytes)
    : mMostBytes(aMostBytes)
  {
  }

  /** Never waits; false where the reader is gone or too far behind. */
  bool Push(AnswerEvent aEvent);

  /** Waits for the next event for at most the given span. */
  std::optional<AnswerEvent> PopFor(Millis aSpan);

  /** The reader has gone: further pushes are refused. */
  void Abandon();

private:
  const size_t mMostBytes;
  std::mutex mMutex;
  std::condition_variable mFilled;
  std::deque<AnswerEvent> mEvents;
  size_t mBytes = 0;
  bool mAbandoned = false;
};

} // namespace trefoilarch
