#pragma once

#include "crashingupstreams.h"
#include "platformfleet.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace platformtest {

/** A caller that repeats the same request. */
struct Repeater
{
  GateCall mCall;
  double mPerSecond = 1;
  /** Changes each repeat, which has this number. */
  std::function<void(GateCall&, int)> mVary = [](GateCall&, int) {};
};

/** The result of one call. */
struct CallOutcome
{
  std::string mPath;
  int mStatus = 0;
  int64_t mSentMs = 0;
};

/** A request that crashes its upstream this many milliseconds after its
 * start. */
Repeater
PoisonAt(const std::string& aPath, double aPerSecond, int aCrashDelayMs = 60);

/** A harmless request that many callers send. */
Repeater
HarmlessAt(double aPerSecond);

/** Sends the repeaters' requests to randomly chosen gates, along with other
 * requests that are sent once each, until stopped. */
class RepeatLoad
{
public:
  RepeatLoad(const PlatformFleet& aFleet,
             size_t aGates,
             const std::vector<Repeater>& aRepeaters,
             double aOthersPerSecond,
             uint64_t aSeed);
  ~RepeatLoad();
  RepeatLoad(const RepeatLoad&) = delete;
  RepeatLoad& operator=(const RepeatLoad&) = delete;

  void Stop();
  /** Sends nothing to this gate until further notice. */
  void ExcludeGate(size_t aGate) { mExcludedGate = aGate; }
  std::vector<CallOutcome> OutcomesOf(const std::string& aPath,
                                      int64_t aSince = 0) const;

private:
  void Send(double aPerSecond,
            uint64_t aSeed,
            const std::function<GateCall(int)>& aNext);
  void CallOnce(const GateCall& aCall, size_t aGate);

  const PlatformFleet& mFleet;
  size_t mGates;
  std::atomic<size_t> mExcludedGate = SIZE_MAX;
  mutable std::mutex mMutex;
  std::vector<CallOutcome> mOutcomes;
  std::vector<std::thread> mThreads;
  std::vector<std::thread> mCalls;
  std::atomic<bool> mStop = false;
};

size_t
CountServed(const std::vector<CallOutcome>& aOutcomes);

/** Number of crashes caused by each request, by path. */
std::map<std::string, size_t>
CrashesByPath(const CrashingUpstreams& aUpstreams);

} // namespace platformtest
