#pragma once

#include "answerbudget.h"

#include "libtrefoilarch/entrycore.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace trefoilarch {

/** One event of the response to a caller. */
using AnswerEvent =
  std::variant<AnswerHead, AnswerData, AnswerEnd, AnswerError>;

/** The result of AnswerMailbox::Push(). */
enum class PushOutcome : uint8_t
{
  Added,
  ReaderGone,
  Unread,  /**< the reader is too far behind */
  TooLong, /**< there is no memory for more of the response */
};

/**
 * Passes one request's response from the router's thread to the thread of the
 * caller's connection. Bounded in the bytes that are unread, and in those that
 * the reader holds.
 */
class AnswerMailbox
{
public:
  AnswerMailbox(size_t aMaxUnreadBytes, std::shared_ptr<AnswerBudget> aBudget)
    : mMaxUnreadBytes(aMaxUnreadBytes)
    , mBudget(std::move(aBudget))
  {
  }
  ~AnswerMailbox() { mBudget->Release(mHeldBytes); }
  AnswerMailbox(const AnswerMailbox&) = delete;
  AnswerMailbox& operator=(const AnswerMailbox&) = delete;

  /** Never blocks. */
  PushOutcome Push(AnswerEvent aEvent);

  /** Waits for the next event, at most for the timeout. Its data counts as held
   * until Release(). */
  std::optional<AnswerEvent> PopFor(Millis aTimeout);

  /** The reader no longer holds that many bytes. */
  void Release(size_t aBytes);

  /** Replaces all events by the last one. */
  void Fail(AnswerError aError);

  /** Drops all events and rejects further ones; called by the reader. */
  void Abandon();

private:
  /** Requires the lock. */
  void DropEvents();

  const size_t mMaxUnreadBytes;
  const std::shared_ptr<AnswerBudget> mBudget;
  std::mutex mMutex;
  std::condition_variable mEventAdded;
  std::deque<AnswerEvent> mEvents;
  size_t mUnreadBytes = 0;
  /** Unread ones and those that the reader holds. */
  size_t mHeldBytes = 0;
  bool mAbandoned = false;
};

} // namespace trefoilarch
