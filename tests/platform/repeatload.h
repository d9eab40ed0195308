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

/** A caller that sends the same request again and again. */
struct Repeater
{
  GateCall mCall;
  double mPerSecond = 1;
};

/** What became of one call. */
struct CallOutcome
{
  std::string mPath;
  int mStatus = 0;
  int64_t mSentMs = 0;
};

/** One that crashes who runs it, that many milliseconds after its start. */
Repeater
PoisonAt(const std::string& aPath, double aPerSecond, int aFuseMs = 60);

/** One that many callers send alike. */
Repeater
HarmlessAt(double aPerSecond);

/** Sends the repeaters' requests to gates drawn by chance, and others of
 * which each is asked once, until it is told to stop. */
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
  /** A gate that is not called for now. */
  void ExcludeGate(size_t aGate) { mLeftOut = aGate; }
  std::vector<CallOutcome> OutcomesOf(const std::string& aPath,
                                      int64_t aSince = 0) const;

private:
  void Send(double aPerSecond,
            uint64_t aSeed,
            const std::function<GateCall(int)>& aNext);
  void CallOnce(const GateCall& aCall, size_t aGate);

  const PlatformFleet& mFleet;
  size_t mGates;
  std::atomic<size_t> mLeftOut = SIZE_MAX;
  mutable std::mutex mMutex;
  std::vector<CallOutcome> mOutcomes;
  std::vector<std::thread> mThreads;
  std::vector<std::thread> mCalls;
  std::atomic<bool> mStop = false;
};

size_t
CountServed(const std::vector<CallOutcome>& aOutcomes);

/** Crashes by each request, by its path. */
std::map<std::string, size_t>
CrashesByPath(const CrashingUpstreams& aUpstreams);

} // namespace platformtest
