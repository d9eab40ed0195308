#include "answermailbox.h"

#include <chrono>
#include <utility>

namespace trefoilarch {

namespace {

size_t
SizeOf(const AnswerEvent& aEvent)
{
  const auto* data = std::get_if<AnswerData>(&aEvent);
  return data ? data->mData.size() : 0;
}

} // namespace

PushOutcome
AnswerMailbox::Push(AnswerEvent aEvent)
{
  const size_t bytes = SizeOf(aEvent);
  {
    const std::lock_guard lock(mMutex);
    if (mAbandoned) {
      return PushOutcome::ReaderGone;
    }
    if (mUnreadBytes + bytes > mMaxUnreadBytes) {
      return PushOutcome::Unread;
    }
    if (bytes > 0 && !mBudget->Take(mHeldBytes, bytes)) {
      return PushOutcome::TooLong;
    }
    mUnreadBytes += bytes;
    mHeldBytes += bytes;
    mEvents.push_back(std::move(aEvent));
  }
  mEventAdded.notify_one();
  return PushOutcome::Added;
}

std::optional<AnswerEvent>
AnswerMailbox::PopFor(Millis aTimeout)
{
  std::unique_lock lock(mMutex);
  mEventAdded.wait_for(lock,
                       std::chrono::milliseconds(aTimeout.Count()),
                       [this] { return !mEvents.empty(); });
  if (mEvents.empty()) {
    return std::nullopt;
  }
  AnswerEvent event = std::move(mEvents.front());
  mEvents.pop_front();
  mUnreadBytes -= SizeOf(event);
  return event;
}

void
AnswerMailbox::Release(size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mHeldBytes -= aBytes;
  mBudget->Release(aBytes);
}

void
AnswerMailbox::Fail(AnswerError aError)
{
  {
    const std::lock_guard lock(mMutex);
    DropEvents();
    mEvents.emplace_back(std::move(aError));
  }
  mEventAdded.notify_one();
}

void
AnswerMailbox::Abandon()
{
  const std::lock_guard lock(mMutex);
  DropEvents();
}

void
AnswerMailbox::DropEvents()
{
  mAbandoned = true;
  mEvents.clear();
  mHeldBytes -= mUnreadBytes;
  mBudget->Release(std::exchange(mUnreadBytes, 0));
}

} // namespace trefoilarch
