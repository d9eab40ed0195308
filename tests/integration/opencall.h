#pragma once

#include "libtrefoilio/callrunner.h"
#include "trefoilload/answerchecker.h"
#include "trefoilload/trace.h"

#include <memory>
#include <mutex>
#include <string>

namespace integration {

/** A caller's request under way, judged byte for byte by the load tool. */
class OpenCall
{
public:
  /** Sends it; the runner must outlive the call. */
  OpenCall(trefoilio::CallRunner& aRunner,
           trefoilload::TraceRequest aRequest,
           trefoilio::HttpRequest aSent,
           std::string aMark);
  /** Leaves, if it is still open. */
  ~OpenCall();
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  /** Waits until that many bytes of body have come, or it has ended. */
  bool AwaitBytes(size_t aCount) const;
  /** Waits for the end; the record as it is then. */
  trefoilload::CallRecord AwaitEnd() const;
  bool HasEnded() const;
  trefoilload::CallRecord Record() const;
  /** All bytes of the body so far. */
  std::string Body() const;
  std::string Header(const std::string& aName) const;
  const std::string& Mark() const { return mMark; }
  /** Closes the connection, as a caller that leaves does. */
  void Leave();

private:
  /** What the runner's hooks write to; outlives the call if need be. */
  struct State
  {
    State(trefoilload::TraceRequest aRequest, trefoilio::HttpRequest aSent)
      : mRequest(std::move(aRequest))
      , mSent(std::move(aSent))
      , mChecker(mRequest, mSent)
    {
    }

    std::mutex mMutex;
    const trefoilload::TraceRequest mRequest;
    const trefoilio::HttpRequest mSent;
    trefoilload::AnswerChecker mChecker;
    trefoilio::HttpHeaders mHeaders;
    std::string mBody;
  };

  trefoilio::CallRunner& mRunner;
  std::string mMark;
  std::shared_ptr<State> mState;
  uint64_t mCall = 0;
};

} // namespace integration
