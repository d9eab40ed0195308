#include "repeatload.h"

#include "libtrefoilio/systemclock.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace platformtest {

Repeater
PoisonAt(const std::string& aPath, double aPerSecond, int aCrashDelayMs)
{
  return { .mCall = { .mMethod = "POST",
                      .mPath = aPath,
                      .mPlan = "crash,delay=" + std::to_string(aCrashDelayMs),
                      .mBody = "poison" },
           .mPerSecond = aPerSecond };
}

Repeater
HarmlessAt(double aPerSecond)
{
  return { .mCall = { .mMethod = "POST",
                      .mPath = "/safe/often",
                      .mPlan = "ok,delay=80",
                      .mBody = "often" },
           .mPerSecond = aPerSecond };
}

RepeatLoad::RepeatLoad(const PlatformFleet& aFleet,
                       size_t aGates,
                       const std::vector<Repeater>& aRepeaters,
                       double aOthersPerSecond,
                       uint64_t aSeed)
  : mFleet(aFleet)
  , mGates(aGates)
{
  uint64_t seed = aSeed;
  for (const Repeater& each : aRepeaters) {
    mThreads.emplace_back([this, each, own = ++seed] {
      Send(each.mPerSecond, own, [each](int aNumber) {
        GateCall call = each.mCall;
        each.mVary(call, aNumber);
        return call;
      });
    });
  }
  mThreads.emplace_back([this, aOthersPerSecond, own = ++seed] {
    Send(aOthersPerSecond, own, [](int aNumber) {
      return GateCall{ .mMethod = "POST",
                       .mPath = "/safe/other",
                       .mPlan = "ok,delay=40",
                       .mBody = "other " + std::to_string(aNumber) };
    });
  });
}

RepeatLoad::~RepeatLoad()
{
  Stop();
}

void
RepeatLoad::Stop()
{
  mStop = true;
  for (std::thread& each : mThreads) {
    each.join();
  }
  mThreads.clear();
  for (std::thread& each : mCalls) {
    each.join();
  }
  mCalls.clear();
}

std::vector<CallOutcome>
RepeatLoad::OutcomesOf(const std::string& aPath, int64_t aSince) const
{
  const std::lock_guard lock(mMutex);
  std::vector<CallOutcome> all;
  for (const CallOutcome& each : mOutcomes) {
    if (each.mPath == aPath && each.mSentMs >= aSince) {
      all.push_back(each);
    }
  }
  return all;
}

void
RepeatLoad::Send(double aPerSecond,
                 uint64_t aSeed,
                 const std::function<GateCall(int)>& aNext)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> pause(aPerSecond);
  std::uniform_int_distribution<size_t> gate(0, mGates - 1);
  for (int number = 0; !mStop; ++number) {
    std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    GateCall call = aNext(number);
    call.mId = std::to_string(aSeed) + "-" + std::to_string(number);
    size_t at = gate(random);
    if (at == mExcludedGate) {
      at = (at + 1) % mGates;
    }
    const std::lock_guard lock(mMutex);
    mCalls.emplace_back([this, call, at] { CallOnce(call, at); });
  }
}

void
RepeatLoad::CallOnce(const GateCall& aCall, size_t aGate)
{
  const int64_t sent = trefoilio::MonotonicNow().Count();
  const int status = mFleet.Call(aCall, aGate).mStatus;
  const std::lock_guard lock(mMutex);
  mOutcomes.push_back(
    { .mPath = aCall.mPath, .mStatus = status, .mSentMs = sent });
}

size_t
CountServed(const std::vector<CallOutcome>& aOutcomes)
{
  return static_cast<size_t>(std::count_if(
    aOutcomes.begin(), aOutcomes.end(), [](const CallOutcome& aOne) {
      return aOne.mStatus == 200;
    }));
}

std::map<std::string, size_t>
CrashesByPath(const CrashingUpstreams& aUpstreams)
{
  std::map<std::string, size_t> crashes;
  for (const UpstreamCrash& each : aUpstreams.Crashes()) {
    crashes[each.mPath]++;
  }
  return crashes;
}

} // namespace platformtest
