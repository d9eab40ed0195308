#pragma once

#include "libtrefoilio/callrunner.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bench {

/** Arrival times of one streamed response; milliseconds. */
struct ProbeResult
{
  bool mComplete = false;
  int mStatus = 0;
  double mFirstToken = 0;    /**< since the request was sent */
  std::vector<double> mGaps; /**< between consecutive tokens */
};

/** A call that records the arrival times of its tokens. */
class ProbeCall
{
public:
  ProbeCall(trefoilio::CallRunner& aRunner, trefoilio::HttpRequest aRequest);
  /** Cancels the call if it is still open. */
  ~ProbeCall();
  ProbeCall(const ProbeCall&) = delete;
  ProbeCall& operator=(const ProbeCall&) = delete;

  /** Waits for the end; the result is incomplete on timeout. */
  ProbeResult AwaitEnd();
  /** Returns true if tokens have arrived and the response has not ended. */
  bool IsStreaming() const;

private:
  using Clock = std::chrono::steady_clock;

  struct State
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    Clock::time_point mSentAt;
    Clock::time_point mLastTokenAt;
    size_t mTokens = 0;
    bool mEnded = false;
    ProbeResult mResult;
  };

  static void TakeData(State& aState, const std::string& aData);

  trefoilio::CallRunner& mRunner;
  std::shared_ptr<State> mState = std::make_shared<State>();
  uint64_t mCallId = 0;
};

} // namespace bench
