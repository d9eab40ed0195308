#pragma once

#include "answermailbox.h"

#include "libtrefoilarch/ids.h"

#include <functional>
#include <memory>
#include <optional>

namespace trefoilarch {

class RouterService;

/**
 * The caller's end of one request. Where it goes before the answer's end, the
 * router hears that the caller has left, and the work is stopped.
 */
class AnswerReader
{
public:
  AnswerReader(RouterService& aRouter,
               RequestId aId,
               std::shared_ptr<AnswerMailbox> aMailbox,
               std::function<bool()> aCallerLeft);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  /**
   * The next event; empty after the span, or once the caller has left: then
   * CallerGone() tells which.
   */
  std::optional<AnswerEvent> Next(Millis aSpan);

  bool CallerGone() const { return mGone; }
  const RequestId& Id() const { return mId; }

private:
  RouterService& mRouter;
  RequestId mId;
  std::shared_ptr<AnswerMailbox> mMailbox;
  std::function<bool()> mCallerLeft;
  bool mOver = false;
  bool mGone = false;
};

} // namespace trefoilarch
