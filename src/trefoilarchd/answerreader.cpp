#include "answerreader.h"

#include "routerservice.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** How often a waiting reader looks whether its caller is still there. */
constexpr Millis kLookSpan{ 100 };

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
  if (!mOver) {
    mMailbox->Abandon();
    mRouter.CallerLeft(mId);
  }
}

std::optional<AnswerEvent>
AnswerReader::Next(Millis aSpan)
{
  for (Millis left = aSpan; left > Millis(0) && !mGone; left -= kLookSpan) {
    auto event = mMailbox->PopFor(std::min(left, kLookSpan));
    if (event) {
      mOver = IsLast(*event);
      return event;
    }
    mGone = mCallerLeft && mCallerLeft();
  }
  return std::nullopt;
}

} // namespace trefoilarch
