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

bool
AnswerMailbox::Push(AnswerEvent aEvent)
{
  {
    const std::lock_guard lock(mMutex);
    mBytes += SizeOf(aEvent);
    if (mAbandoned || mBytes > mMaxBytes) {
      return false;
    }
    mEvents.push_back(std::move(aEvent));
  }
  mEventAdded.notify_one();
  return true;
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
  mBytes -= SizeOf(event);
  return event;
}

void
AnswerMailbox::Abandon()
{
  const std::lock_guard lock(mMutex);
  mAbandoned = true;
  mEvents.clear();
}

} // namespace trefoilarch
