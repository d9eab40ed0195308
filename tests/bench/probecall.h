#pragma once

#include "libtrefoilio/callrunner.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bench {

/** When the parts of one streamed answer came; milliseconds. */
struct ProbeResult
{
  bool mWhole = false;
  int mStatus = 0;
  double mFirstToken = 0;    /**< after the request was sent */
  std::vector<double> mGaps; /**< between one token and the next */
};

/** A call whose tokens are timed as they arrive. */
class ProbeCall
{
public:
  ProbeCall(trefoilio::CallRunner& aRunner, trefoilio::HttpRequest aRequest);
  /** Leaves the call if it is still open. */
  ~ProbeCall();
  ProbeCall(const ProbeCall&) = delete;
  ProbeCall& operator=(const ProbeCall&) = delete;

  /** Waits for the end; not whole where it does not come in time. */
  ProbeResult AwaitEnd();
  /** Whether tokens have come and the answer has not ended. */
  bool IsStreaming() const;

private:
  using Clock = std::chrono::steady_clock;

  struct State
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    Clock::time_point mSent;
    Clock::time_point mLast;
    size_t mTokens = 0;
    bool mEnded = false;
    ProbeResult mResult;
  };

  static void TakeData(State& aState, const std::string& aData);

  trefoilio::CallRunner& mRunner;
  std::shared_ptr<State> mState = std::make_shared<State>();
  uint64_t mCall = 0;
};

} // namespace bench
