#pragma once

#include "libtrefoilio/callrunner.h"
#include "trefoilload/answerchecker.h"
#include "trefoilload/trace.h"

#include <memory>
#include <mutex>
#include <string>

namespace integration {

/** A request in flight; the load tool checks its response byte for byte. */
class OpenCall
{
public:
  /** Sends the request; the runner must outlive the call. */
  OpenCall(trefoilio::CallRunner& aRunner,
           trefoilload::TraceRequest aRequest,
           trefoilio::HttpRequest aHttpRequest,
           std::string aMark);
  /** Closes the connection if it is still open. */
  ~OpenCall();
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  /** Waits for that many bytes of the body or the end of the call. */
  bool AwaitBytes(size_t aCount) const;
  /** Waits for the end of the call; returns its record. */
  trefoilload::CallRecord AwaitEnd() const;
  bool HasEnded() const;
  trefoilload::CallRecord Record() const;
  /** The body received so far. */
  std::string Body() const;
  std::string Header(const std::string& aName) const;
  const std::string& Mark() const { return mMark; }
  /** Closes the connection, as a caller that cancels does. */
  void Leave();

private:
  /** Written by the runner's hooks, which may outlive the call. */
  struct State
  {
    State(trefoilload::TraceRequest aRequest,
          trefoilio::HttpRequest aHttpRequest)
      : mRequest(std::move(aRequest))
      , mSent(std::move(aHttpRequest))
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
  uint64_t mCallId = 0;
};

} // namespace integration
