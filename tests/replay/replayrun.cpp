#include "replayrun.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <sstream>

namespace replay {

using trefoilarch::Ran;
using trefoilarch::Refusal;
using trefoilarch::RequestClass;

namespace {

/** Time after the last deadline in which all requests end. */
constexpr Millis kSettleTime{ 40000 };

/** A caller of the trace, across all its retries. */
struct Caller
{
  uint64_t mRetry = 0;
  Millis mFirstTokenAt{};
  Millis mLastTokenAt{};
  uint32_t mTokens = 0;
  bool mComplete = false;
  bool mEnded = false;
  bool mCallerLeft = false;
  bool mAttained = false;
  Millis mEndedAt{};
  std::optional<Refusal> mRefusal{};
};

/** Simulates the callers of a trace against one router. */
class ReplayRun
{
public:
  ReplayRun(const Trace& aTrace, const RouterMaker& aMaker)
    : mTrace(aTrace)
    , mCallers(aTrace.mRequests.size())
  {
    mRouter = aMaker(
      mTime,
      aTrace,
      { .mOnToken =
          [this](CallerRequest aCallerRequest) { OnToken(aCallerRequest); },
        .mOnComplete =
          [this](CallerRequest aCallerRequest) { OnComplete(aCallerRequest); },
        .mOnRefused =
          [this](CallerRequest aCallerRequest, const Refusal& aRefusal) {
            OnRefused(aCallerRequest, aRefusal);
          } });
  }

  Score Play()
  {
    Millis end;
    for (size_t i = 0; i < mCallers.size(); ++i) {
      const TraceRequest& request = mTrace.mRequests[i];
      const Millis at = request.mAt + kWarmUp;
      mTime.At(at, [this, i] { mRouter->Submit({ .mIndex = i }); });
      mTime.At(DeadlineOf(i), [this, i] { Abandon(i); });
      end = std::max(end, DeadlineOf(i));
    }
    for (const TraceFault& fault : mTrace.mFaults) {
      mTime.At(fault.mAt + kWarmUp, [this, &fault] { mRouter->Apply(fault); });
    }
    mTime.RunUntil(end + kSettleTime);
    return ComputeScore();
  }

private:
  static constexpr Millis kWarmUp{ 100 };

  Millis ArrivalOf(size_t aIndex) const
  {
    return mTrace.mRequests[aIndex].mAt + kWarmUp;
  }

  Millis DeadlineOf(size_t aIndex) const
  {
    const TraceRequest& request = mTrace.mRequests[aIndex];
    return ArrivalOf(aIndex) + mTrace.ClassOf(request).mDeadline;
  }

  Caller* Current(CallerRequest aCallerRequest)
  {
    Caller& caller = mCallers[aCallerRequest.mIndex];
    return caller.mRetry == aCallerRequest.mRetry && !caller.mEnded ? &caller
                                                                    : nullptr;
  }

  void OnToken(CallerRequest aCallerRequest)
  {
    Caller* caller = Current(aCallerRequest);
    if (!caller) {
      return;
    }
    if (caller->mTokens++ == 0) {
      caller->mFirstTokenAt = mTime.Now();
    }
    caller->mLastTokenAt = mTime.Now();
  }

  void OnComplete(CallerRequest aCallerRequest)
  {
    Caller* caller = Current(aCallerRequest);
    if (!caller) {
      mEndedTwice += mCallers[aCallerRequest.mIndex].mCallerLeft ? 0 : 1;
      return;
    }
    caller->mComplete = true;
    End(*caller);
  }

  void OnRefused(CallerRequest aCallerRequest, const Refusal& aRefusal)
  {
    Caller* caller = Current(aCallerRequest);
    if (!caller) {
      mEndedTwice += mCallers[aCallerRequest.mIndex].mCallerLeft ? 0 : 1;
      return;
    }
    if (aRefusal.mRan == Ran::No) {
      mReportedNotRun.push_back(aCallerRequest);
    }
    caller->mRefusal = aRefusal;
    const bool retry =
      mTrace.mRetryDelay > Millis() && caller->mRetry < mTrace.mMaxRetries &&
      caller->mTokens == 0 &&
      mTime.Now() + mTrace.mRetryDelay < DeadlineOf(aCallerRequest.mIndex);
    if (!retry) {
      return End(*caller);
    }
    ++caller->mRetry;
    mTime.After(mTrace.mRetryDelay, [this, aCallerRequest] {
      if (Current({ aCallerRequest.mIndex, aCallerRequest.mRetry + 1 })) {
        mRouter->Submit({ aCallerRequest.mIndex, aCallerRequest.mRetry + 1 });
      }
    });
  }

  void Abandon(size_t aIndex)
  {
    Caller& caller = mCallers[aIndex];
    if (caller.mEnded) {
      return;
    }
    caller.mCallerLeft = true;
    End(caller);
    mRouter->Abandon({ .mIndex = aIndex, .mRetry = caller.mRetry });
  }

  void End(Caller& aCaller)
  {
    aCaller.mEnded = true;
    aCaller.mEndedAt = mTime.Now();
  }

  Score ComputeScore()
  {
    Score score;
    for (size_t i = 0; i < mCallers.size(); ++i) {
      ScoreRequest(i, score);
    }
    for (auto& [name, classScore] : score.mClasses) {
      std::sort(classScore.mFirstTokenTimes.begin(),
                classScore.mFirstTokenTimes.end());
      std::sort(classScore.mRefusalTimes.begin(),
                classScore.mRefusalTimes.end());
    }
    ScoreWork(score);
    score.mEndedTwice = mEndedTwice;
    score.mPrefilled = mRouter->PrefilledTokens();
    score.mDump = mRouter->Dump();
    return score;
  }

  void ScoreRequest(size_t aIndex, Score& aScore)
  {
    Caller& caller = mCallers[aIndex];
    const TraceRequest& request = mTrace.mRequests[aIndex];
    const RequestClass& requestClass = mTrace.ClassOf(request);
    ClassScore& classScore = aScore.mClasses[request.mClass];
    ++classScore.mRequestCount;
    aScore.mLost += caller.mEnded ? 0 : 1;
    const Millis first = caller.mFirstTokenAt - ArrivalOf(aIndex);
    if (caller.mTokens > 0) {
      classScore.mFirstTokenTimes.push_back(first.Count());
    }
    if (!caller.mComplete) {
      const Millis after = caller.mEndedAt - ArrivalOf(aIndex);
      classScore.mRefusalTimes.push_back(after.Count());
      const auto kind = caller.mCallerLeft || !caller.mRefusal
                          ? std::string_view("caller_left_at_deadline")
                          : Name(caller.mRefusal->mKind);
      ++classScore.mRefused[std::string(kind)];
      return;
    }
    ++classScore.mCompleted;
    const bool lateFirst = first > requestClass.mFirstTokenTarget;
    const Millis duration = caller.mLastTokenAt - caller.mFirstTokenAt;
    const bool slow = duration > requestClass.mBetweenTokenTarget *
                                   (int64_t{ caller.mTokens } - 1);
    classScore.mLateFirstTokens += lateFirst ? 1 : 0;
    classScore.mSlowTokens += slow ? 1 : 0;
    caller.mAttained = !lateFirst && !slow;
    classScore.mAttained += caller.mAttained ? 1 : 0;
  }

  void ScoreWork(Score& aScore) const
  {
    double all = 0;
    double useful = 0;
    double inTime = 0;
    std::map<CallerRequest, size_t> runs;
    for (const ExecutionCost& execution : mRouter->Executions()) {
      all += execution.mCost;
      const Caller& caller = mCallers[execution.mRequest.mIndex];
      const bool received = caller.mComplete && execution.mComplete &&
                            caller.mRetry == execution.mRequest.mRetry;
      useful += received ? execution.mCost : 0;
      inTime += received && caller.mAttained ? execution.mCost : 0;
      ++runs[execution.mRequest];
    }
    for (const auto& [callerRequest, count] : runs) {
      if (count > 1 && !mTrace.mRequests[callerRequest.mIndex].mIdempotent) {
        ++aScore.mExecutedTwice;
      }
    }
    for (const CallerRequest& callerRequest : mReportedNotRun) {
      aScore.mFalseNotRun += runs.count(callerRequest);
    }
    aScore.mWaste = all > 0 ? 1 - useful / all : 0;
    aScore.mGoodput = inTime / MaxWorkInTime();
  }

  /**
   * An upper bound on the work that any router could finish in time: treats all
   * engines as one, perfectly divisible, that serves the earliest due time
   * first and knows every response length in advance.
   */
  double MaxWorkInTime() const
  {
    constexpr int64_t kBin = 100;
    std::multimap<Millis, double> due;
    double done = 0;
    size_t next = 0;
    for (Millis now; next < mCallers.size() || !due.empty();
         now += Millis(kBin)) {
      for (; next < mCallers.size() && mTrace.mRequests[next].mAt < now;
           ++next) {
        due.emplace(LatestTimelyEnd(mTrace.mRequests[next]),
                    CostOf(mTrace.mRequests[next]));
      }
      double left = SpeedAt(now) * static_cast<double>(kBin);
      while (!due.empty() && (left > 0 || due.begin()->first < now)) {
        const auto first = due.begin();
        const double part =
          first->first < now ? 0 : std::min(first->second, left);
        done += part;
        left -= part;
        first->second -= part;
        if (first->second <= 0 || first->first < now) {
          due.erase(first);
        }
      }
    }
    return done;
  }

  /**
   * The latest time at which a response can end and still meet its targets: it
   * starts by the first-token target and continues at the pace of a full batch,
   * plus half of that for other requests' prefill. The targets allow a slower
   * pace, but an engine that slow would waste its batch.
   */
  Millis LatestTimelyEnd(const TraceRequest& aRequest) const
  {
    const RequestClass& requestClass = mTrace.ClassOf(aRequest);
    const standin::BatchOptions& batch = mTrace.mBatch;
    const double step =
      batch.mStepMillis +
      batch.mSequenceMillis * static_cast<double>(batch.mMaxRunning);
    const double pace =
      std::min(step * 1.5,
               static_cast<double>(requestClass.mBetweenTokenTarget.Count()));
    const Millis response(std::llround(pace * aRequest.mOutputTokens));
    const Millis last = requestClass.mFirstTokenTarget + response;
    return aRequest.mAt + std::min(last, requestClass.mDeadline);
  }

  static double CostOf(const TraceRequest& aRequest)
  {
    return MinCost(aRequest.mPromptTokens, aRequest.mOutputTokens);
  }

  /** Combined speed in units of one healthy engine, with faults applied. */
  double SpeedAt(Millis aNow) const
  {
    std::vector<double> speed(mTrace.mEngines, 1);
    for (const TraceFault& fault : mTrace.mFaults) {
      if (fault.mAt <= aNow) {
        speed[fault.mEngine] = fault.mSlowdown > 0 ? 1 / fault.mSlowdown : 0;
      }
    }
    return std::accumulate(speed.begin(), speed.end(), 0.0);
  }

  const Trace& mTrace;
  VirtualTime mTime;
  std::vector<Caller> mCallers;
  std::unique_ptr<Router> mRouter;
  std::vector<CallerRequest> mReportedNotRun;
  size_t mEndedTwice = 0;
};

} // namespace

double
ClassScore::Attainment() const
{
  return static_cast<double>(mAttained) / static_cast<double>(mRequestCount);
}

double
ClassScore::Completion() const
{
  return static_cast<double>(mCompleted) / static_cast<double>(mRequestCount);
}

Score
Replay(const Trace& aTrace, const RouterMaker& aMaker)
{
  return ReplayRun(aTrace, aMaker).Play();
}

std::vector<std::string>
FailedExpectations(const Trace& aTrace, const Score& aScore)
{
  std::vector<std::string> failures;
  const auto expect =
    [&](bool aHolds, const std::string& aRequirement, double aGot) {
      if (aHolds) {
        return;
      }
      std::ostringstream text;
      text << aRequirement << ", got " << aGot;
      failures.push_back(text.str());
    };
  for (const Expectation& expectation : aTrace.mExpectations) {
    const ClassScore& classScore = aScore.mClasses.at(expectation.mClass);
    expect(classScore.Attainment() >= expectation.mMinAttainment,
           expectation.mClass + " attainment at least " +
             std::to_string(expectation.mMinAttainment),
           classScore.Attainment());
    expect(classScore.Completion() >= expectation.mMinCompleted,
           expectation.mClass + " completed at least " +
             std::to_string(expectation.mMinCompleted),
           classScore.Completion());
  }
  expect(aScore.mGoodput >= aTrace.mMinGoodput,
         "goodput at least " + std::to_string(aTrace.mMinGoodput),
         aScore.mGoodput);
  expect(aScore.mWaste <= aTrace.mMaxWaste,
         "waste at most " + std::to_string(aTrace.mMaxWaste),
         aScore.mWaste);
  const size_t wrong = aScore.mLost + aScore.mEndedTwice +
                       aScore.mExecutedTwice + aScore.mFalseNotRun;
  expect(wrong == 0,
         "no request lost, ended twice, run twice or falsely reported not run",
         static_cast<double>(wrong));
  return failures;
}

int64_t
Quantile(const std::vector<int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<size_t>(last * aShare)];
}

} // namespace replay
