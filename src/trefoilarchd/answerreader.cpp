#include "answerreader.h"

#include "routerservice.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How often a waiting reader checks that its caller is connected. */
constexpr Millis kPollInterval{ 100 };

bool
IsLast(const AnswerEvent& aEvent)
{
  return std::holds_alternative<AnswerEnd>(aEvent) ||
         std::holds_alternative<AnswerError>(aEvent);
}

} // namespace

AnswerReader::AnswerReader(RouterService& aRouter,
                           RequestId aId,
                           std::shared_ptr<AnswerMailbox> aMailbox,
                           std::function<bool()> aCallerLeft)
  : mRouter(aRouter)
  , mId(aId)
  , mMailbox(std::move(aMailbox))
  , mCallerLeft(std::move(aCallerLeft))
{
}

AnswerReader::~AnswerReader()
{
  if (!mEnded) {
    mMailbox->Abandon();
    mRouter.CallerLeft(mId);
  }
}

std::optional<AnswerEvent>
AnswerReader::Next(Millis aTimeout)
{
  for (Millis remaining = aTimeout; remaining > Millis(0) && !mCallerGone;
       remaining -= kPollInterval) {
    auto event = mMailbox->PopFor(std::min(remaining, kPollInterval));
    if (event) {
      mEnded = IsLast(*event);
      return event;
    }
    mCallerGone = mCallerLeft && mCallerLeft();
  }
  return std::nullopt;
}

} // namespace trefoilarch
