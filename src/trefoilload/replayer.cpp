#include "replayer.h"

#include "answerchecker.h"

#include "../libtrefoilio/callrunner.h"
#include "../libtrefoilio/systemclock.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace trefoilload {

namespace {

/** A sent request; its address is stable until the run has ended. */
struct PendingCall
{
  PendingCall(const TraceRequest& aRequest, trefoilio::HttpRequest aSent)
    : mSent(std::move(aSent))
    , mChecker(aRequest, mSent)
  {
  }

  trefoilio::HttpRequest mSent;
  AnswerChecker mChecker;
  uint64_t mCallId = 0;
};

class ReplayRun
{
public:
  ReplayRun(const Trace& aTrace, const ReplayOptions& aOptions)
    : mTrace(aTrace)
    , mOptions(aOptions)
    , mStartTime(trefoilio::MonotonicNow().Count())
  {
  }

  std::vector<CallRecord> Execute()
  {
    trefoilio::CallRunner runner({ .mMaxConnections = 2000 });
    for (size_t index = 0; index < mTrace.mRequests.size(); ++index) {
      const TraceRequest& request = mTrace.mRequests[index];
      WaitUntil(static_cast<double>(request.mAt) / mOptions.mSpeed);
      SendRequest(runner, request, index);
    }
    WaitForCalls();
    for (const PendingCall& call : mCalls) {
      runner.Cancel(call.mCallId);
    }
    return CollectRecords();
  }

private:
  int64_t Now() const { return trefoilio::MonotonicNow().Count() - mStartTime; }

  void WaitUntil(double aAt) const
  {
    const auto wait = static_cast<int64_t>(aAt) - Now();
    if (wait > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(wait));
    }
  }

  void SendRequest(trefoilio::CallRunner& aRunner,
                   const TraceRequest& aRequest,
                   size_t aIndex)
  {
    const std::string& entry =
      mOptions.mEntries[aIndex % mOptions.mEntries.size()];
    const std::string mark = mOptions.mRunId + "-" + std::to_string(aIndex);
    const std::lock_guard lock(mMutex);
    PendingCall& call = mCalls.emplace_back(
      aRequest, BuildRequest(aRequest, mark, entry, mOptions.mTokens));
    call.mChecker.Record().mMark = mark;
    call.mChecker.Record().mSent = Now();
    ++mOpenCalls;
    call.mCallId = aRunner.Start(call.mSent, MakeHooks(call.mChecker));
  }

  trefoilio::CallHooks MakeHooks(AnswerChecker& aChecker)
  {
    return {
      .mOnHead =
        [this, &aChecker](int aStatus, const trefoilio::HttpHeaders& aHeaders) {
          const std::lock_guard lock(mMutex);
          aChecker.OnHead(aStatus, aHeaders);
        },
      .mOnData =
        [this, &aChecker](const std::string& aData) {
          const std::lock_guard lock(mMutex);
          aChecker.OnData(aData, Now());
        },
      .mOnEnd =
        [this, &aChecker](trefoilio::CallEnd aEnd) {
          const std::lock_guard lock(mMutex);
          aChecker.OnEnd(aEnd, Now());
          --mOpenCalls;
          mCallEnded.notify_all();
        },
    };
  }

  void WaitForCalls()
  {
    std::unique_lock lock(mMutex);
    mCallEnded.wait_for(lock,
                        std::chrono::milliseconds(mOptions.mDrainTimeout),
                        [this] { return mOpenCalls == 0; });
  }

  std::vector<CallRecord> CollectRecords()
  {
    const std::lock_guard lock(mMutex);
    std::vector<CallRecord> records;
    records.reserve(mCalls.size());
    for (PendingCall& call : mCalls) {
      records.push_back(call.mChecker.Record());
    }
    return records;
  }

  const Trace& mTrace;
  const ReplayOptions& mOptions;
  const int64_t mStartTime;
  std::mutex mMutex;
  std::condition_variable mCallEnded;
  std::deque<PendingCall> mCalls;
  size_t mOpenCalls = 0;
};

} // namespace

std::vector<CallRecord>
Replay(const Trace& aTrace, const ReplayOptions& aOptions)
{
  return ReplayRun(aTrace, aOptions).Execute();
}

} // namespace trefoilload
