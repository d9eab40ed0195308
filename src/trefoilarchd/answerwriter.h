#pragma once

#include "libtrefoilarch/ids.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/httpmessage.h"
#include "libtrefoilio/metrics.h"

#include <memory>
#include <string>

namespace trefoilarch {

class AnswerReader;

/** The targets that a response is measured against. */
struct AnswerTargets
{
  std::string mClass;
  Millis mArrivedAt;
  Millis mFirstToken;
  Millis mBetweenToken;
  Millis mDeadline;
};

/**
 * Converts the events of a response into the caller's HTTP reply. Each function
 * waits until the reply's status is known.
 */
class AnswerWriter
{
public:
  AnswerWriter(std::shared_ptr<AnswerReader> aReader,
               AnswerTargets aTargets,
               trefoilio::Metrics& aMetrics);
  ~AnswerWriter();

  /** Forwards the engine's event stream byte for byte. */
  trefoilio::HttpReply Streamed();
  /** Assembles the engine's event stream into one JSON object. */
  trefoilio::HttpReply Assembled();
  /** Forwards a plain service's response. */
  trefoilio::HttpReply Plain();

private:
  class State;
  std::shared_ptr<State> mState;
};

} // namespace trefoilarch
