#pragma once

#include "platformfleet.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace platformtest {

/** Options of CrashingUpstreams. */
struct CrashOptions
{
  size_t mUpstreams = 12;
  uint64_t mSeed = 1;
  /** A crashed upstream restarts after a random time between these. */
  int mMinDownMs = 600;
  int mMaxDownMs = 1800;
  /** Whether a restarted upstream keeps its id. */
  bool mSameId = false;
};

/** A request that crashed the upstream that ran it. */
struct UpstreamCrash
{
  std::string mPath;
  int64_t mAtMs = 0;
};

/**
 * Upstream processes that crash and restart: a thread restarts each one after a
 * while and maintains its row in the store as the platform would. The row of an
 * upstream that restarts under another id is removed some seconds after the
 * crash.
 */
class CrashingUpstreams
{
public:
  CrashingUpstreams(const PlatformFleet& aFleet, CrashOptions aOptions);
  ~CrashingUpstreams();
  CrashingUpstreams(const CrashingUpstreams&) = delete;
  CrashingUpstreams& operator=(const CrashingUpstreams&) = delete;

  /** Kills several upstreams at once, as when a rack loses power. */
  void KillAtOnce(size_t aFrom, size_t aCount);
  /** Crashes caused by requests so far, ordered by time. */
  std::vector<UpstreamCrash> Crashes() const;

private:
  struct Slot
  {
    std::unique_ptr<integration::ChildProcess> mProcess;
    std::string mId;
    std::string mAddress;
    int64_t mRestartAtMs = 0;
    int mStartCount = 0;
  };
  struct PendingRemoval
  {
    std::string mId;
    int64_t mAtMs = 0;
  };

  void Run();
  void Start(Slot& aSlot, size_t aNumber);
  void OnEnded(Slot& aSlot);
  void RemoveExpiredRows();

  const PlatformFleet& mFleet;
  CrashOptions mOptions;
  std::mt19937_64 mRandom;
  mutable std::mutex mMutex;
  std::vector<Slot> mSlots;
  std::vector<PendingRemoval> mPendingRemovals;
  std::vector<UpstreamCrash> mCrashes;
  std::atomic<bool> mStop = false;
  std::thread mThread;
};

} // namespace platformtest
