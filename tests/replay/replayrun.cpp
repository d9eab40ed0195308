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

/** After the last deadline, so that everything has come to its end. */
constexpr Millis kSettle{ 40000 };

/** A caller of the trace, through all its repeats. */
struct Caller
{
  uint64_t mRepeat = 0;
  Millis mFirst{};
  Millis mLast{};
  uint32_t mTokens = 0;
  bool mWhole = false;
  bool mEnded = false;
  bool mLeft = false;
  bool mAttained = false;
  Millis mEndedAt{};
  std::optional<Refusal> mRefusal{};
};

/** Plays the callers of a trace against one router. */
class Run
{
public:
  Run(const Trace& aTrace, const RouterMaker& aMaker)
    : mTrace(aTrace)
    , mCallers(aTrace.mRequests.size())
  {
    mRouter = aMaker(
      mTime,
      aTrace,
      { .mOnToken = [this](CallerRequest aWho) { OnToken(aWho); },
        .mOnWhole = [this](CallerRequest aWho) { OnWhole(aWho); },
        .mOnRefused = [this](CallerRequest aWho,
                             const Refusal& aWhy) { OnRefused(aWho, aWhy); } });
  }

  Score Play()
  {
    Millis end;
    for (size_t i = 0; i < mCallers.size(); ++i) {
      const TraceRequest& request = mTrace.mRequests[i];
      const Millis at = request.mAt + kWarmUp;
      mTime.At(at, [this, i] { mRouter->Submit({ .mIndex = i }); });
      mTime.At(DeadlineOf(i), [this, i] { Leave(i); });
      end = std::max(end, DeadlineOf(i));
    }
    for (const TraceFault& fault : mTrace.mFaults) {
      mTime.At(fault.mAt + kWarmUp, [this, &fault] { mRouter->Apply(fault); });
    }
    mTime.RunUntil(end + kSettle);
    return Judge();
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

  Caller* Current(CallerRequest aWho)
  {
    Caller& caller = mCallers[aWho.mIndex];
    return caller.mRepeat == aWho.mRepeat && !caller.mEnded ? &caller : nullptr;
  }

  void OnToken(CallerRequest aWho)
  {
    Caller* caller = Current(aWho);
    if (!caller) {
      return;
    }
    if (caller->mTokens++ == 0) {
      caller->mFirst = mTime.Now();
    }
    caller->mLast = mTime.Now();
  }

  void OnWhole(CallerRequest aWho)
  {
    Caller* caller = Current(aWho);
    if (!caller) {
      mTwice += mCallers[aWho.mIndex].mLeft ? 0 : 1;
      return;
    }
    caller->mWhole = true;
    End(*caller);
  }

  void OnRefused(CallerRequest aWho, const Refusal& aWhy)
  {
    Caller* caller = Current(aWho);
    if (!caller) {
      mTwice += mCallers[aWho.mIndex].mLeft ? 0 : 1;
      return;
    }
    if (aWhy.mRan == Ran::No) {
      mSaidNo.push_back(aWho);
    }
    caller->mRefusal = aWhy;
    const bool again =
      mTrace.mRepeatAfter > Millis() && caller->mRepeat < mTrace.mRepeats &&
      caller->mTokens == 0 &&
      mTime.Now() + mTrace.mRepeatAfter < DeadlineOf(aWho.mIndex);
    if (!again) {
      return End(*caller);
    }
    ++caller->mRepeat;
    mTime.After(mTrace.mRepeatAfter, [this, aWho] {
      if (Current({ aWho.mIndex, aWho.mRepeat + 1 })) {
        mRouter->Submit({ aWho.mIndex, aWho.mRepeat + 1 });
      }
    });
  }

  void Leave(size_t aIndex)
  {
    Caller& caller = mCallers[aIndex];
    if (caller.mEnded) {
      return;
    }
    caller.mLeft = true;
    End(caller);
    mRouter->Leave({ .mIndex = aIndex, .mRepeat = caller.mRepeat });
  }

  void End(Caller& aCaller)
  {
    aCaller.mEnded = true;
    aCaller.mEndedAt = mTime.Now();
  }

  Score Judge()
  {
    Score score;
    for (size_t i = 0; i < mCallers.size(); ++i) {
      JudgeOne(i, score);
    }
    for (auto& [name, ofClass] : score.mClasses) {
      std::sort(ofClass.mFirstTokens.begin(), ofClass.mFirstTokens.end());
      std::sort(ofClass.mRefusedAfter.begin(), ofClass.mRefusedAfter.end());
    }
    JudgeWork(score);
    score.mTwice = mTwice;
    score.mPrefilled = mRouter->PrefilledTokens();
    score.mDump = mRouter->Dump();
    return score;
  }

  void JudgeOne(size_t aIndex, Score& aScore)
  {
    Caller& caller = mCallers[aIndex];
    const TraceRequest& request = mTrace.mRequests[aIndex];
    const RequestClass& requestClass = mTrace.ClassOf(request);
    ClassScore& ofClass = aScore.mClasses[request.mClass];
    ++ofClass.mAsked;
    aScore.mLost += caller.mEnded ? 0 : 1;
    const Millis first = caller.mFirst - ArrivalOf(aIndex);
    if (caller.mTokens > 0) {
      ofClass.mFirstTokens.push_back(first.Count());
    }
    if (!caller.mWhole) {
      const Millis after = caller.mEndedAt - ArrivalOf(aIndex);
      ofClass.mRefusedAfter.push_back(after.Count());
      const auto kind = caller.mLeft || !caller.mRefusal
                          ? std::string_view("caller_left_at_deadline")
                          : Name(caller.mRefusal->mKind);
      ++ofClass.mRefused[std::string(kind)];
      return;
    }
    ++ofClass.mCompleted;
    const bool lateFirst = first > requestClass.mFirstTokenTarget;
    const Millis span = caller.mLast - caller.mFirst;
    const bool slow =
      span > requestClass.mBetweenTokenTarget * (int64_t{ caller.mTokens } - 1);
    ofClass.mLateFirst += lateFirst ? 1 : 0;
    ofClass.mSlowTokens += slow ? 1 : 0;
    caller.mAttained = !lateFirst && !slow;
    ofClass.mAttained += caller.mAttained ? 1 : 0;
  }

  void JudgeWork(Score& aScore) const
  {
    double all = 0;
    double useful = 0;
    double inTime = 0;
    std::map<CallerRequest, size_t> runs;
    for (const Spent& spent : mRouter->Executions()) {
      all += spent.mCost;
      const Caller& caller = mCallers[spent.mRequest.mIndex];
      const bool received = caller.mWhole && spent.mWhole &&
                            caller.mRepeat == spent.mRequest.mRepeat;
      useful += received ? spent.mCost : 0;
      inTime += received && caller.mAttained ? spent.mCost : 0;
      ++runs[spent.mRequest];
    }
    for (const auto& [who, count] : runs) {
      if (count > 1 && !mTrace.mRequests[who.mIndex].mIdempotent) {
        ++aScore.mRunTwice;
      }
    }
    for (const CallerRequest& who : mSaidNo) {
      aScore.mFalseNo += runs.count(who);
    }
    aScore.mWaste = all > 0 ? 1 - useful / all : 0;
    aScore.mGoodput = inTime / Best();
  }

  /**
   * An upper bound on the work that any router could have in time: all engines
   * as one, perfectly divisible, always the answer that is due first, with
   * everything known beforehand about its length.
   */
  double Best() const
  {
    constexpr int64_t kBin = 100;
    std::multimap<Millis, double> due;
    double done = 0;
    size_t next = 0;
    for (Millis now; next < mCallers.size() || !due.empty();
         now += Millis(kBin)) {
      for (; next < mCallers.size() && mTrace.mRequests[next].mAt < now;
           ++next) {
        due.emplace(InTime(mTrace.mRequests[next]),
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
   * The last moment at which the whole answer can come in time: begun by the
   * first-token target, and then at the pace of a full batch, with half as
   * much again for others' prefill. A slower pace would do for the targets,
   * but no engine has it without wasting its batch.
   */
  Millis InTime(const TraceRequest& aRequest) const
  {
    const RequestClass& requestClass = mTrace.ClassOf(aRequest);
    const standin::BatchOptions& batch = mTrace.mBatch;
    const double step =
      batch.mStepMillis +
      batch.mSequenceMillis * static_cast<double>(batch.mMaxRunning);
    const double pace =
      std::min(step * 1.5,
               static_cast<double>(requestClass.mBetweenTokenTarget.Count()));
    const Millis answer(std::llround(pace * aRequest.mOutputTokens));
    const Millis last = requestClass.mFirstTokenTarget + answer;
    return aRequest.mAt + std::min(last, requestClass.mDeadline);
  }

  static double CostOf(const TraceRequest& aRequest)
  {
    return LeastCost(aRequest.mPromptTokens, aRequest.mOutputTokens);
  }

  /** How many engines' worth of work is done, faults taken into account. */
  double SpeedAt(Millis aNow) const
  {
    std::vector<double> speed(mTrace.mEngines, 1);
    for (const TraceFault& fault : mTrace.mFaults) {
      if (fault.mAt <= aNow) {
        speed[fault.mEngine] = fault.mSlow > 0 ? 1 / fault.mSlow : 0;
      }
    }
    return std::accumulate(speed.begin(), speed.end(), 0.0);
  }

  const Trace& mTrace;
  VirtualTime mTime;
  std::vector<Caller> mCallers;
  std::unique_ptr<Router> mRouter;
  std::vector<CallerRequest> mSaidNo;
  size_t mTwice = 0;
};

} // namespace

double
ClassScore::Attainment() const
{
  return static_cast<double>(mAttained) / static_cast<double>(mAsked);
}

double
ClassScore::Completion() const
{
  return static_cast<double>(mCompleted) / static_cast<double>(mAsked);
}

Score
Replay(const Trace& aTrace, const RouterMaker& aMaker)
{
  return Run(aTrace, aMaker).Play();
}

std::vector<std::string>
BrokenPromises(const Trace& aTrace, const Score& aScore)
{
  std::vector<std::string> broken;
  const auto demand = [&](bool aHolds, const std::string& aWhat, double aGot) {
    if (aHolds) {
      return;
    }
    std::ostringstream text;
    text << aWhat << ", got " << aGot;
    broken.push_back(text.str());
  };
  for (const Promise& promise : aTrace.mPromises) {
    const ClassScore& ofClass = aScore.mClasses.at(promise.mClass);
    demand(ofClass.Attainment() >= promise.mLeastAttainment,
           promise.mClass + " attainment at least " +
             std::to_string(promise.mLeastAttainment),
           ofClass.Attainment());
    demand(ofClass.Completion() >= promise.mLeastCompleted,
           promise.mClass + " completed at least " +
             std::to_string(promise.mLeastCompleted),
           ofClass.Completion());
  }
  demand(aScore.mGoodput >= aTrace.mLeastGoodput,
         "goodput at least " + std::to_string(aTrace.mLeastGoodput),
         aScore.mGoodput);
  demand(aScore.mWaste <= aTrace.mMostWaste,
         "waste at most " + std::to_string(aTrace.mMostWaste),
         aScore.mWaste);
  const size_t wrong =
    aScore.mLost + aScore.mTwice + aScore.mRunTwice + aScore.mFalseNo;
  demand(wrong == 0,
         "nothing lost, ended twice, run twice or falsely called not run",
         static_cast<double>(wrong));
  return broken;
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
