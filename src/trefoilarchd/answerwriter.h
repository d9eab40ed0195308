#pragma once

#include "libtrefoilarch/ids.h"
#include "libtrefoilarch/millis.h"
#include "libtrefoilio/httpmessage.h"
#include "libtrefoilio/metrics.h"

#include <memory>
#include <string>

namespace trefoilarch {

class AnswerReader;

/** What a caller's answer is measured against. */
struct AnswerTargets
{
  std::string mClass;
  Millis mArrivedAt;
  Millis mFirstToken;
  Millis mBetweenToken;
  Millis mDeadline;
};

/**
 * Turns the events of an answer into the caller's HTTP reply. Each function
 * waits until the reply's status is settled.
 */
class AnswerWriter
{
public:
  AnswerWriter(std::shared_ptr<AnswerReader> aReader,
               AnswerTargets aTargets,
               trefoilio::Metrics& aMetrics);
  ~AnswerWriter();

  /** The engine's event stream, passed on byte for byte. */
  trefoilio::HttpReply Streamed();
  /** The engine's event stream, put together into one JSON object. */
  trefoilio::HttpReply Assembled();
  /** A plain service's answer. */
  trefoilio::HttpReply Plain();

private:
  class State;
  std::shared_ptr<State> mState;
};

} // namespace trefoilarch
