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

/** A request under way; stays in place until the run is over. */
struct Flight
{
  Flight(const TraceRequest& aRequest, trefoilio::HttpRequest aSent)
    : mSent(std::move(aSent))
    , mChecker(aRequest, mSent)
  {
  }

  trefoilio::HttpRequest mSent;
  AnswerChecker mChecker;
  uint64_t mCall = 0;
};

class Run
{
public:
  Run(const Trace& aTrace, const ReplayOptions& aOptions)
    : mTrace(aTrace)
    , mOptions(aOptions)
    , mStart(trefoilio::MonotonicNow().Count())
  {
  }

  std::vector<CallRecord> Go()
  {
    trefoilio::CallRunner runner({ .mMaxConnections = 2000 });
    for (size_t number = 0; number < mTrace.mRequests.size(); ++number) {
      const TraceRequest& request = mTrace.mRequests[number];
      WaitUntil(static_cast<double>(request.mAt) / mOptions.mSpeed);
      Launch(runner, request, number);
    }
    AwaitAll();
    for (const Flight& flight : mFlights) {
      runner.Cancel(flight.mCall);
    }
    return Collect();
  }

private:
  int64_t Now() const { return trefoilio::MonotonicNow().Count() - mStart; }

  void WaitUntil(double aAt) const
  {
    const auto wait = static_cast<int64_t>(aAt) - Now();
    if (wait > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(wait));
    }
  }

  void Launch(trefoilio::CallRunner& aRunner,
              const TraceRequest& aRequest,
              size_t aNumber)
  {
    const std::string& entry =
      mOptions.mEntries[aNumber % mOptions.mEntries.size()];
    const std::string mark = mOptions.mRun + "-" + std::to_string(aNumber);
    const std::lock_guard lock(mMutex);
    Flight& flight = mFlights.emplace_back(
      aRequest, BuildRequest(aRequest, mark, entry, mOptions.mTokens));
    flight.mChecker.Record().mMark = mark;
    flight.mChecker.Record().mSent = Now();
    ++mOpen;
    flight.mCall = aRunner.Start(flight.mSent, HooksOf(flight.mChecker));
  }

  trefoilio::CallHooks HooksOf(AnswerChecker& aChecker)
  {
    return {
      .mOnHead =
        [this, &aChecker](int aStatus, const trefoilio::HttpHeaders& aHeaders) {
          const std::lock_guard lock(mMutex);
          aChecker.TakeHead(aStatus, aHeaders);
        },
      .mOnData =
        [this, &aChecker](const std::string& aData) {
          const std::lock_guard lock(mMutex);
          aChecker.TakeData(aData, Now());
        },
      .mOnEnd =
        [this, &aChecker](trefoilio::CallEnd aEnd) {
          const std::lock_guard lock(mMutex);
          aChecker.TakeEnd(aEnd, Now());
          --mOpen;
          mEnded.notify_all();
        },
    };
  }

  void AwaitAll()
  {
    std::unique_lock lock(mMutex);
    mEnded.wait_for(lock,
                    std::chrono::milliseconds(mOptions.mPatience),
                    [this] { return mOpen == 0; });
  }

  std::vector<CallRecord> Collect()
  {
    const std::lock_guard lock(mMutex);
    std::vector<CallRecord> records;
    records.reserve(mFlights.size());
    for (Flight& flight : mFlights) {
      records.push_back(flight.mChecker.Record());
    }
    return records;
  }

  const Trace& mTrace;
  const ReplayOptions& mOptions;
  const int64_t mStart;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::deque<Flight> mFlights;
  size_t mOpen = 0;
};

} // namespace

std::vector<CallRecord>
Replay(const Trace& aTrace, const ReplayOptions& aOptions)
{
  return Run(aTrace, aOptions).Go();
}

} // namespace trefoilload
