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

/** How CrashingUpstreams behave. */
struct CrashOptions
{
  size_t mUpstreams = 12;
  uint64_t mSeed = 1;
  /** An upstream that has ended is back after a drawn time between these. */
  int mMinDownMs = 600;
  int mMaxDownMs = 1800;
  /** Whether one that is back has the id that it had. */
  bool mSameId = false;
};

/** A request that ended the upstream that ran it. */
struct UpstreamCrash
{
  std::string mPath;
  int64_t mAtMs = 0;
};

/**
 * Upstreams that end as processes do and come back: a thread starts each one
 * again after a while and keeps its row in the store as the platform would.
 * The row of one that is back under another id lapses some seconds after its
 * end.
 */
class CrashingUpstreams
{
public:
  CrashingUpstreams(const PlatformFleet& aFleet, CrashOptions aOptions);
  ~CrashingUpstreams();
  CrashingUpstreams(const CrashingUpstreams&) = delete;
  CrashingUpstreams& operator=(const CrashingUpstreams&) = delete;

  /** Ends some upstreams at once, as a rack that loses power does. */
  void KillAtOnce(size_t aFrom, size_t aCount);
  /** Crashes by requests so far, in the order of their times. */
  std::vector<UpstreamCrash> Crashes() const;

private:
  struct Slot
  {
    std::unique_ptr<integration::ChildProcess> mProcess;
    std::string mId;
    std::string mAddress;
    int64_t mBackAtMs = 0;
    int mStarts = 0;
  };
  struct Lapse
  {
    std::string mId;
    int64_t mAtMs = 0;
  };

  void Run();
  void Start(Slot& aSlot, size_t aNumber);
  void TakeEnd(Slot& aSlot);
  void RemoveLapsed();

  const PlatformFleet& mFleet;
  CrashOptions mOptions;
  std::mt19937_64 mRandom;
  mutable std::mutex mMutex;
  std::vector<Slot> mSlots;
  std::vector<Lapse> mLapses;
  std::vector<UpstreamCrash> mCrashes;
  std::atomic<bool> mStop = false;
  std::thread mThread;
};

} // namespace platformtest
