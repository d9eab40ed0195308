#pragma once

#include "answermailbox.h"

#include "libtrefoilarch/ids.h"

#include <functional>
#include <memory>
#include <optional>

namespace trefoilarch {

class RouterService;

/**
 * Reads the response to one request. If it is destroyed before the response
 * has ended, it notifies the router, which cancels the request.
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
   * Waits for the next event. Returns nullopt on timeout or if the caller has
   * left; CallerGone() distinguishes the two.
   */
  std::optional<AnswerEvent> Next(Millis aTimeout);

  /** Bytes of data that Next() has returned are no longer held. */
  void Release(size_t aBytes) { mMailbox->Release(aBytes); }

  bool CallerGone() const { return mCallerGone; }
  const RequestId& Id() const { return mId; }

private:
  RouterService& mRouter;
  RequestId mId;
  std::shared_ptr<AnswerMailbox> mMailbox;
  std::function<bool()> mCallerLeft;
  bool mEnded = false;
  bool mCallerGone = false;
};

} // namespace trefoilarch
