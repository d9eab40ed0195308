#pragma once

#include "libtrefoilarch/entrycore.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace trefoilarch {

/** One event of the response to a caller. */
using AnswerEvent =
  std::variant<AnswerHead, AnswerData, AnswerEnd, AnswerError>;

/**
 * Passes one request's response from the router's thread to the thread of the
 * caller's connection. Bounded in bytes: Push() returns false if the caller
 * does not read.
 */
class AnswerMailbox
{
public:
  explicit AnswerMailbox(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /** Never blocks; returns false if the reader is gone or too far behind. */
  bool Push(AnswerEvent aEvent);

  /** Waits for the next event, at most for the timeout. */
  std::optional<AnswerEvent> PopFor(Millis aTimeout);

  /** Drops all events and rejects further ones; called by the reader. */
  void Abandon();

private:
  const size_t mMaxBytes;
  std::mutex mMutex;
  std::condition_variable mEventAdded;
  std::deque<AnswerEvent> mEvents;
  size_t mBytes = 0;
  bool mAbandoned = false;
};

} // namespace trefoilarch
